//! Cases of the second review that a day of the bench cannot express. `review-2 CASE RECORD` exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.

mod deployment;
mod http;
mod platform;
mod server;

mod platform_ends;
mod starved;

use deployment::Record;
use std::path::Path;
use std::process::exit;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("review-2 CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(path));
    record.say(&format!("case {case}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    // A case that hangs is ended, with its processes, before its time is over.
    let late = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(112));
        late.say("not run: the case takes too long");
        deployment::kill_all();
        exit(2);
    });
    let verdict = match case.as_str() {
        "platform-ends" => platform_ends::run(&record, trouble),
        "starved" => starved::run(&record, trouble),
        _ => Verdict::NotRun("no such case".to_owned()),
    };
    exit(match verdict {
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::NotRun(why) => {
            record.say(&format!("not run: {why}"));
            2
        }
    });
}
