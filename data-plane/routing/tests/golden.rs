//! Pins the values that placement depends on: hashes of names, keys of shared prefixes, and the
//! resulting choices. Gateways of different releases must rank servers in the same order and
//! identify them by the same hashes.

use marblecroft_protocol::servers::{Server, ServerList};
use marblecroft_routing::balance::{LoadBalancer, PlacementRequest};
use marblecroft_routing::hash::{fnv1a, splitmix64};
use marblecroft_routing::prompt::{Prompt, PromptSegment};
use marblecroft_routing::tuning::Tuning;
use std::time::Duration;

#[test]
fn fnv1a_hashes_keep_their_values() {
    let names: [&[u8]; 4] = [b"", b"a", b"gateway-1", b"server-0123456789"];
    assert_eq!(
        names.map(fnv1a),
        [
            14_695_981_039_346_656_037,
            12_638_187_200_555_641_996,
            11_475_878_255_332_352_311,
            7_822_563_662_734_483_162
        ]
    );
}

#[test]
fn splitmix64_keeps_its_values() {
    assert_eq!(
        [0, 1, 0x0123_4567_89ab_cdef, u64::MAX].map(splitmix64),
        [
            16_294_208_416_658_607_535,
            10_451_216_379_200_822_465,
            1_547_611_027_431_991_965,
            16_490_336_266_968_443_936
        ]
    );
}

#[test]
fn prefix_keys_keep_their_values() {
    let prompt = Prompt::parse(Some("1460,80"), Some("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"));
    let segment = |id, tokens| PromptSegment { id, tokens };
    let segments = vec![
        segment(17_407_074_884_502_035_781, 800),
        segment(7_970_587_945_965_462_874, 410),
        segment(7_310_267_169_902_242_791, 250),
    ];
    assert_eq!(prompt, Prompt { input_tokens: 1460, max_output_tokens: 80, segments });
    assert_eq!(prompt.prefix_key(), Some(11_749_453_319_025_264_180));
    assert_eq!((prompt.shared_tokens(), prompt.cost()), (1210, 2260.0));
}

fn server(number: u32) -> Server {
    Server {
        id: format!("server-{number}"),
        backend: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("valid address"),
        zone: "a".to_owned(),
        slots: 8,
        draining: false,
        warmup_left_ms: 0,
    }
}

#[test]
fn choices_for_shared_prefixes_keep_their_values() {
    let list = ServerList { servers: (0..12).map(server).collect(), ..ServerList::default() };
    let choices = ["5c1e07a2:800,x:1", "91bd3f06:410,x:1", "e4402b7d:250,x:1"].map(|prefixes| {
        let mut balancer = LoadBalancer::new("a", 7, Tuning::default());
        balancer.update(&list);
        let prefix_key = Prompt::parse(None, Some(prefixes)).prefix_key();
        let request =
            PlacementRequest { service: "s", prefix_key, attempted: &[], max_occupancy: f64::INFINITY };
        [(); 4].map(|()| {
            let id = balancer.choose(&request, Duration::from_secs(1)).expect("a server is chosen").id;
            balancer.on_sent(&id, 500, Duration::from_secs(1));
            id
        })
    });
    assert_eq!(
        choices,
        [
            ["server-1", "server-6", "server-0", "server-7"],
            ["server-7", "server-10", "server-0", "server-1"],
            ["server-1", "server-10", "server-0", "server-7"],
        ]
    );
}
