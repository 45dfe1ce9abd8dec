//! `filbertstack get` prints the declarations.

use serde_json::Value;

use super::Failure;
use super::print_answer;
use crate::client::Client;
use crate::client::ClientError;
use crate::flags;

pub fn run(flags: flags::Get) -> Result<(), Failure> {
    let client = Client::new(flags.entry, flags.key_file)?;
    let kind = flags.kind.as_str();
    if !matches!(kind, "all" | "deployments" | "pools" | "rules") {
        let text = format!("'{kind}' is no kind: use deployments, pools, rules or all");
        return Err(ClientError::Refused(text).into());
    }
    let mut answer = client.get("declarations")?;
    if kind != "all" && (200..300).contains(&answer.status) {
        answer.body = answer.body["declared"][kind].take();
    }
    print_answer(&answer, flags.json, |body| {
        serde_json::to_string_pretty(body).unwrap_or_else(|_| Value::to_string(body))
    })
}
