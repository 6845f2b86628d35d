//! The numbers that choose servers keep their values: hashes of names, keys of prompts' shared parts, and the choices that
//! follow from them. Gateways that run different programs are to name servers alike and to send like prompts alike.

use marblecroft_protocol::servers::{Server, ServerList};
use marblecroft_routing::balance::{LoadBalancer, PlacementRequest};
use marblecroft_routing::prompt::{hash, mix, Prompt, PromptPart};
use marblecroft_routing::tuning::Tuning;
use std::time::Duration;

#[test]
fn hashes_of_names_keep_their_values() {
    let names: [&[u8]; 4] = [b"", b"a", b"gateway-1", b"server-0123456789"];
    assert_eq!(
        names.map(hash),
        [
            14_695_981_039_346_656_037,
            12_638_187_200_555_641_996,
            11_475_878_255_332_352_311,
            7_822_563_662_734_483_162
        ]
    );
}

#[test]
fn spread_numbers_keep_their_values() {
    assert_eq!(
        [0, 1, 0x0123_4567_89ab_cdef, u64::MAX].map(mix),
        [
            16_294_208_416_658_607_535,
            10_451_216_379_200_822_465,
            1_547_611_027_431_991_965,
            16_490_336_266_968_443_936
        ]
    );
}

#[test]
fn keys_of_prompts_keep_their_values() {
    let prompt = Prompt::parse(Some("1460,80"), Some("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"));
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = vec![
        part(17_407_074_884_502_035_781, 800),
        part(7_970_587_945_965_462_874, 410),
        part(7_310_267_169_902_242_791, 250),
    ];
    assert_eq!(prompt, Prompt { input_tokens: 1460, max_output_tokens: 80, parts });
    assert_eq!(prompt.prefix_key(), Some(11_749_453_319_025_264_180));
    assert_eq!((prompt.shared_tokens(), prompt.cost()), (1210, 2260.0));
}

fn server(number: u32) -> Server {
    Server {
        id: format!("server-{number}"),
        backend: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 8,
        draining: false,
        warmup_left_ms: 0,
    }
}

#[test]
fn a_prompt_with_shared_parts_goes_to_the_same_servers() {
    let list = ServerList { servers: (0..12).map(server).collect(), ..ServerList::default() };
    let choices = ["5c1e07a2:800,x:1", "91bd3f06:410,x:1", "e4402b7d:250,x:1"].map(|prefixes| {
        let mut fleet = LoadBalancer::new("a", 7, Tuning::default());
        fleet.update(&list);
        let shared = Prompt::parse(None, Some(prefixes)).prefix_key();
        let wish =
            PlacementRequest { service: "s", prefix_key: shared, attempted: &[], max_load: f64::INFINITY };
        [(); 4].map(|()| {
            let id = fleet.choose(&wish, Duration::from_secs(1)).expect("a server").id;
            fleet.on_sent(&id, 500, Duration::from_secs(1));
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
