use super::*;

#[test]
fn numbers_are_stable_and_expire_long_after_their_server_is_unlisted() {
    let mut ids = ServerIds::default();
    let start = Instant::now();
    let mut first = None;
    for n in 0..1000_u32 {
        let now = start + Duration::from_secs(1) * n;
        let id = ids.number(&format!("s-{n}"));
        first = first.or(Some(id));
        let server = ServerInfo { id, lifecycle: Lifecycle::Running, ..ServerInfo::default() };
        ids.on_endpoint_list(Scope::Full, &[server], now);
        assert_eq!(ids.number(&format!("s-{n}")), id);
    }
    assert!(ids.0.len() as u64 <= ID_RETENTION.as_secs() + 1, "{} of 1000", ids.0.len());
    assert_eq!(Some(ids.number("s-0")), first, "the same number again, as after a restart");
}
