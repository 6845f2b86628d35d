use super::*;

#[test]
fn commands_are_parsed_and_others_rejected() {
    let disable = |name: &str| Ok(Command::Change(Change::Disable(name.to_owned())));
    for (method, uri, call) in [
        (Method::GET, "/ready", Ok(Command::Ready)),
        (Method::GET, "/metrics", Ok(Command::Metrics)),
        (Method::PUT, "/metrics", Err(CallError::Method(Method::GET))),
        (Method::PUT, "/drain", Ok(Command::Change(Change::Drain))),
        (Method::PUT, "/undrain", Ok(Command::Change(Change::Undrain))),
        (Method::PUT, "/pay-servers/disable?name=s-1", disable("s-1")),
        (Method::PUT, "/pay-servers/disable?why=x&name=s%2d1", disable("s-1")),
        (Method::PUT, "/pay-servers/enable?name=s", Ok(Command::Change(Change::Enable("s".to_owned())))),
        (Method::PUT, "/ready", Err(CallError::Method(Method::GET))),
        (Method::POST, "/drain", Err(CallError::Method(Method::PUT))),
        (Method::GET, "/pay-servers/enable?name=s", Err(CallError::Method(Method::PUT))),
        (Method::PUT, "/pay-servers/disable", Err(CallError::Malformed("name=ID is missing"))),
        (Method::PUT, "/pay-servers/disable?name=", Err(CallError::Malformed("name=ID is missing"))),
        (
            Method::PUT,
            "/pay-servers/disable?name=a&name=b",
            Err(CallError::Malformed("name comes more than once")),
        ),
        (Method::PUT, "/pay-servers/", Err(CallError::UnknownPath)),
        (Method::GET, "/", Err(CallError::UnknownPath)),
    ] {
        let (path, query) = uri.split_once('?').map_or((uri, None), |(path, query)| (path, Some(query)));
        assert_eq!(parse_command(&method, path, query), call, "{method} {uri}");
    }
}
