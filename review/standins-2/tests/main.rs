//! The cases of the second independent review. Each starts entries of the project as separate processes on
//! loopback, plays clients, servers and the platform, and checks one rule as the users' pages state it.
//!
//! `cases CASE FOLDER` runs a case and writes `record.txt` to its folder. It exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case could not run. `cases server ...` is a server that a case starts.

mod cluster;
mod departure;
mod first_start;
mod heads;
mod http;
mod memory;
mod parts;
mod poison;
mod record;
mod server;
mod servers;

use std::process::ExitCode;

use crate::poison::Beside;
use crate::record::Record;

/// The result of a case that ran.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// The reason why a case could not run.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if let ["server", rest @ ..] = &args[..] {
        return server::run(rest);
    }
    let [case, folder] = args[..] else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.add(format!("case {case}, trouble {trouble}"));
    let result = match case {
        "poison" => poison::run(&record, trouble, Beside::SlowReaders),
        "parts" => parts::run(&record, trouble),
        "late" => poison::run(&record, trouble, Beside::SoundRequestsInTime),
        "unframed" => poison::run(&record, trouble, Beside::SoundRequests),
        "first-start" => first_start::run(&record, trouble),
        "departure" => departure::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "heads" => heads::run(&record, trouble),
        _ => Err("no such case".into()),
    };
    let (text, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.add(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
