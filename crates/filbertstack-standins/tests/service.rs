//! Tests a plain service over loopback: echoes, run counts and faults.

mod common;

use filbertstack_standins::Service;
use filbertstack_standins::ServiceConfig;
use filbertstack_standins::service::ServiceFaults;
use filbertstack_standins::service::echo;
use serde_json::json;

use common::agent;
use common::get;
use common::post_with;

fn service() -> Service {
    Service::start(ServiceConfig::new("move-in-desk")).unwrap()
}

#[test]
fn answers_echo_the_request_and_runs_are_counted_by_key() {
    let service = service();
    let body = json!({"organisation": "acme", "booking": 7});
    let headers = [("Idempotency-Key", "k1"), ("x-request-id", "r1")];
    let answer = post_with(&service.addr(), "/bookings/7/confirm", &body, &headers);
    let expected = echo(
        "move-in-desk",
        "POST",
        "/bookings/7/confirm",
        &body.to_string(),
    );
    assert_eq!(answer.bytes(), expected);
    post_with(&service.addr(), "/bookings/7/confirm", &body, &headers);
    let runs = service.runs();
    assert_eq!(runs.by_key["k1"], 2);
    assert_eq!(runs.by_request["r1"], 2);
    assert_eq!(runs.most_by_key(), 2);
    let runs_body = get(&service.addr(), "/admin/runs").json();
    assert_eq!(runs_body["by_key"]["k1"], 2);
    let lookup = get(&service.addr(), "/bookings/7").bytes();
    assert_eq!(lookup, echo("move-in-desk", "GET", "/bookings/7", ""));
}

// The connection closes without an answer, once before the call runs and once after. The caller cannot
// distinguish the two cases; the run counts do.
#[test]
fn a_cut_before_a_call_runs_nothing_and_a_cut_after_it_runs_once() {
    let service = service();
    let url = format!("http://{}/bookings", service.addr());
    let book = |key: &str| {
        let request = agent().post(&url).header("Idempotency-Key", key);
        request.send("{}").map(|answer| answer.status().as_u16())
    };
    service.set_faults(ServiceFaults {
        cut_before: 1,
        ..ServiceFaults::default()
    });
    assert!(book("before").is_err());
    service.set_faults(ServiceFaults {
        cut_after: 1,
        ..ServiceFaults::default()
    });
    assert!(book("after").is_err());
    service.set_faults(ServiceFaults {
        fail: 1,
        ..ServiceFaults::default()
    });
    assert_eq!(book("failed").unwrap(), 500);
    assert_eq!(book("done").unwrap(), 200);
    let runs = service.runs();
    assert_eq!(runs.by_key.get("before"), None);
    assert_eq!(runs.by_key["after"], 1);
    assert_eq!(runs.by_key["failed"], 1);
    assert_eq!((runs.total, runs.completed), (3, 1));
}
