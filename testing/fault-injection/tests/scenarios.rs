//! Tests of scenario and site files: the deployments that are drawn from them, and one-line errors for
//! invalid files.

use marblecroft_fault_injection::deployment::Deployment;
use marblecroft_fault_injection::draw::draw;
use marblecroft_fault_injection::endpoint::Endpoint;
use marblecroft_fault_injection::scenario::Scenario;
use marblecroft_fault_injection::stand_ins::clients::Arrivals;
use std::collections::BTreeMap;

#[test]
fn invalid_scenarios_are_rejected_with_one_line_that_names_the_field() {
    let with_controllers = |more: &str| format!("[fleet]\ncoordinators = 3\nstewards = 2\ncells = 3\n{more}");
    let fault = |more: &str| format!("[[fault]]\nat_ms = 1000\n{more}");
    let cases = [
        ("[fleet]\ngatways = 3".to_owned(), "gatways"),
        (
            "[fleet]\ngateways = 0\n[[fault]]\nat_ms = 1\nkind = \"stop\"\ntarget = \"pay_servers\""
                .to_owned(),
            "fault",
        ),
        ("[fleet]\ngateways = 301".to_owned(), "fleet.gateways"),
        ("[fleet]\ncoordinators = 4".to_owned(), "fleet.coordinators"),
        ("[fleet]\nzones = []".to_owned(), "fleet.zones"),
        ("[load]\nrate = nan".to_owned(), "load.rate"),
        ("[load]\nrate = -1.0".to_owned(), "load.rate"),
        ("[load]\nunsafe_share = 1.5".to_owned(), "load.unsafe_share"),
        ("[site]\naim_ms = 5000".to_owned(), "site.deadline_ms"),
        ("[expect]\nserved_share = 2.0".to_owned(), "expect.served_share"),
        (fault("kind = \"explode\"\ntarget = \"gateways\""), "explode"),
        (fault("kind = \"kill\"\ntarget = \"gateway\""), "gateway"),
        (fault("kind = \"kill\"\ntarget = \"gateways[3]\""), "fault[0].target"),
        (fault("kind = \"kill\"\ntarget = \"coordinators\""), "fault[0].target"),
        (fault("kind = \"kill\"\ntarget = \"owner:list\""), "fault[0].target"),
        (fault("kind = \"kill\"\ntarget = \"clients\""), "fault[0].target"),
        (fault("kind = \"kill\"\ntarget = \"gateways\"\nshare = 1.2"), "fault[0].share"),
        (fault("kind = \"kill\"\ntarget = \"gateways\"\ncount = 4"), "fault[0].count"),
        (fault("kind = \"kill\"\ntarget = \"gateways\"\nshare = 0.5\ncount = 1"), "fault[0].share"),
        (fault("kind = \"kill\"\ntarget = \"gateways\"\nfrom = \"counter\""), "fault[0].from"),
        (fault("kind = \"kill\"\ntarget = \"gateways\"\nreset = true"), "fault[0].reset"),
        (fault("kind = \"cut\"\ntarget = \"gateways\"\none_way = true"), "fault[0].one_way"),
        (fault("kind = \"full_disk\"\ntarget = \"gateways\""), "fault[0].kind"),
        (fault("kind = \"full_disk\"\ntarget = \"list_service\""), "fault[0].kind"),
        ("[[fault]]\nat_ms = 99999999\nkind = \"kill\"\ntarget = \"gateways\"".to_owned(), "fault[0].at_ms"),
        ("[tenants]\nfirms = 3".to_owned(), "tenants"),
        ("[books]\ncount = 3".to_owned(), "books"),
        ("[fleet]\ncells = 2".to_owned(), "fleet.cells"),
        (with_controllers("[tenants]\nweights = []"), "tenants.weights"),
        (with_controllers("[tenants]\nweights = [0.0]"), "tenants.weights[0]"),
        (with_controllers("[tenants]\ngreedy = 41"), "tenants.greedy"),
        (with_controllers("[books]\ncount = 0"), "books.count"),
        (with_controllers("[[books.move]]\nat_ms = 1\nbook = 8\nto_cell = 0"), "books.move[0].book"),
        (with_controllers("[[books.move]]\nat_ms = 1\nbook = 0\nto_cell = 3"), "books.move[0].to_cell"),
        (with_controllers("[[fault]]\nat_ms = 1\nkind = \"term\"\ntarget = \"cells\""), "fault[0].kind"),
        ("fleet = 3".to_owned(), "line 1"),
    ];
    for (text, field) in cases {
        let error = Scenario::parse(&text).expect_err(&text).to_string();
        assert!(error.contains(field) && !error.contains('\n'), "{text}\n{error}");
    }
}

#[test]
fn overlapping_faults_of_one_process_are_rejected_by_name() {
    let draw_with_kill_at = |at_ms: &str| {
        let text = format!(
            "[[fault]]\nat_ms = 1000\nkind = \"stop\"\ntarget = \"gateways[1]\"\nfor_ms = 3000\n\
             [[fault]]\nat_ms = {at_ms}\nkind = \"kill\"\ntarget = \"gateways[1]\""
        );
        Deployment::draw(&Scenario::parse(&text).expect("valid scenario"), 1)
    };
    let error = draw_with_kill_at("3999").expect_err("the process is still stopped").to_string();
    assert!(error.starts_with("fault[1].target") && error.contains("fault[0]"), "{error}");
    assert!(draw_with_kill_at("4000").is_ok());
    // A killed process stays down without a duration. Faults of links may overlap.
    let killed = "[[fault]]\nat_ms = 1000\nkind = \"kill\"\ntarget = \"gateways\"\n";
    let again = format!("{killed}[[fault]]\nat_ms = 9000\nkind = \"term\"\ntarget = \"gateways[0]\"");
    assert!(Deployment::draw(&Scenario::parse(&again).expect("valid scenario"), 1).is_err());
    let cut = "[[fault]]\nat_ms = 1000\nkind = \"cut\"\ntarget = \"gateways\"\n";
    assert!(Deployment::draw(&Scenario::parse(&format!("{cut}{cut}")).expect("valid scenario"), 1).is_ok());
}

const THUNDERING_HERD: &str =
    "[fleet]\ngateways = 30\npay_servers = 20\n[load]\nrate = 140.0\ncustomers = 100\n\
                    [[fault]]\nat_ms = 5000\nkind = \"kill\"\ntarget = \"gateways\"\nshare = 0.7";

#[test]
fn the_same_seed_draws_the_same_deployment_and_another_seed_a_different_one() {
    let scenario = Scenario::parse(THUNDERING_HERD).expect("valid scenario");
    let drawn = |seed| {
        let deployment = Deployment::draw(&scenario, seed).expect("drawn");
        let arrivals: Vec<_> = Arrivals::new(&scenario, &deployment, seed).expect("arrivals").collect();
        (deployment, arrivals)
    };
    let (one, same, other) = (drawn(7), drawn(7), drawn(8));
    assert!(one == same);
    assert!(one.0 != other.0 && one.1 != other.1);
    assert_eq!(one.0.faults[0].victims.len(), 21);
    assert_ne!(one.0.faults[0].victims, other.0.faults[0].victims);
}

#[test]
fn the_load_has_the_configured_rate_and_plans_have_their_shares_of_it() {
    let scenario = Scenario::parse(THUNDERING_HERD).expect("valid scenario");
    let deployment = Deployment::draw(&scenario, 3).expect("drawn");
    let arrivals: Vec<_> = Arrivals::new(&scenario, &deployment, 3).expect("arrivals").collect();
    assert_eq!(arrivals.len(), 2800);
    let mut of_second = BTreeMap::new();
    for arrival in &arrivals {
        *of_second.entry(arrival.at / 1_000_000_000).or_insert(0_u32) += 1;
    }
    assert!(of_second.values().all(|count| (138..=142).contains(count)), "arrivals by second: {of_second:?}");
    let unsafe_share = arrivals.iter().filter(|arrival| arrival.class == 1).count() as f64 / 2800.0;
    assert!((0.41..0.51).contains(&unsafe_share), "{unsafe_share}");
    for plan in 0..3 {
        let share: f64 = deployment.customers.iter().filter(|c| c.plan == plan).map(|c| c.weight).sum();
        assert!((0.1..0.6).contains(&share), "share of plan {plan}: {share}");
    }
    assert!(deployment.customers.iter().all(|customer| (2..=9).contains(&customer.gateway_weights.len())));
    let victims: Vec<Endpoint> = deployment.faults[0].victims.clone();
    assert!(victims.windows(2).all(|pair| pair[0] < pair[1]));
    // Random streams are independent: removing the fault does not change the customers.
    let calm = Scenario { faults: Vec::new(), ..scenario };
    assert_eq!(Deployment::draw(&calm, 3).expect("drawn").customers, deployment.customers);
}

const SITE: &str = r#"
name = "made-up"
[day]
length_s = [10, 12]
troubles = [1, 2.99]
[scale]
servers = [4, 6]
balancers = [2, 3]
[load]
quiet = [0.3, 0.4]
trouble = [0.4, 0.5]
[net]
zones = ["north", "south"]
[front]
notice_s = [1.0, 2.0]
[clients]
retries = [1, 2.5]
try_share = [0.5, 1]
honour = 0.5
backoff_ms = [10, 20]
[discovery]
notice_s = [0.5, 1.0]
add_s = [0.5, 1.0]
[[tier]]
[tier.conn]
handshake_us = [100, 200]
cap_per_core = [500, 600]
[[tier.kind]]
cores = 2
speed = [0.9, 1.1]
speed_cv = 0.1
slots_per_core = [2, 4]
queue_per_core = [10, 20]
thrash = 0.1
thrash_at = [4, 5]
cold_from = [0.3, 0.4]
cold_s = [5, 9]
error_rate = 0
cancel = ["none", "queued"]
[[class]]
name = "read"
share = [0.5, 0.6]
work_ms = [80, 120]
cv = 0.8
aim_ms = 1000
deadline_ms = 4000
effect = "safe"
[[class]]
name = "write"
share = [0.4, 0.5]
work_ms = [80, 120]
cv = 0.8
aim_ms = 1000
deadline_ms = 4000
effect = "unsafe"
[[tenant]]
name = "small"
share = 1
[fam]
counter = true
[[fam.plan]]
rate = [1, 2]
burst_s = [2, 3]
price = 1
over_cost = 1
[[trouble]]
name = "balancer_crash"
len_s = [1, 2]
part = [0.3, 0.5]
[[trouble]]
name = "pauses"
part = 0.5
size = [100, 200]
"#;

#[test]
fn a_site_is_drawn_within_its_ranges_and_inverted_ranges_are_named() {
    for seed in 0..50 {
        let text = draw(SITE, seed).expect("drawn");
        assert_eq!(text, draw(SITE, seed).expect("drawn"), "the same seed draws the same scenario");
        let scenario = Scenario::parse(&text).expect("valid scenario");
        assert!((2..=3).contains(&scenario.fleet.gateways) && (4..=6).contains(&scenario.fleet.pay_servers));
        assert!((10_000..=12_000).contains(&scenario.load.duration_ms));
        assert!((80.0..=120.0).contains(&scenario.site.work_ms));
        assert!((1..=2).contains(&scenario.faults.len()), "{text}");
        Deployment::draw(&scenario, seed).expect("its faults do not overlap");
    }
    for (from, to, field) in [
        ("work_ms = [80, 120]", "work_ms = [120, 80]", "work_ms"),
        ("servers = [4, 6]", "servers = [6, 4]", "scale.servers"),
        ("notice_s = [1.0, 2.0]", "notice_s = [2.0, 1.0]", "front.notice_s"),
        ("honour = 0.5", "honour = \"much\"", "honour"),
        ("effect = \"unsafe\"", "effect = \"keyed\"", "class"),
        ("name = \"balancer_crash\"", "name = 3", "name"),
    ] {
        let error = draw(&SITE.replacen(from, to, 1), 1).expect_err(field).to_string();
        assert!(error.contains(field) || error.contains("line"), "{error}");
        assert!(!error.contains('\n'));
    }
}
