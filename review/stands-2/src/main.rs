//! Stand-ins and scenarios of the second independent review.
//!
//! `stand case NAME FOLDER ROUTER` plays a scenario with the router program ROUTER and writes `FOLDER/record.txt`. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the environment, it
//! leaves the disruption out.

mod cases;
mod client;
mod server;
mod store;
mod util;
mod world;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["server", ..] => server::run(&args[1..]),
        ["case", name, folder, router] => {
            let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            // A case that hangs couldn't run. Its processes end with their inputs or below.
            let played = std::panic::catch_unwind(|| cases::play(name, Path::new(folder), Path::new(router), trouble));
            std::process::exit(match played {
                Ok(Some(true)) => 0,
                Ok(Some(false)) => 1,
                _ => 2,
            });
        }
        _ => {
            eprintln!("stand case NAME FOLDER ROUTER | stand server LOG ID,ADDRESS,SERVICE,VERSION…");
            std::process::exit(2);
        }
    }
}
