//! `filbertstack drain` stops the assignment of new requests to a target.

use serde_json::json;

use super::Failure;
use super::print_answer;
use crate::client::Client;
use crate::flags;

pub fn run(flags: flags::Drain) -> Result<(), Failure> {
    let client = Client::new(flags.entry, flags.key_file)?;
    let answer = client.post("drain", &json!({ "name": flags.name }))?;
    print_answer(&answer, flags.json, |_| {
        format!("{} takes nothing new", flags.name)
    })
}
