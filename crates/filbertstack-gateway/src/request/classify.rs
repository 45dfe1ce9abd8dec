//! What the head of a target's answer means for the request and for the target.

use filbertstack_core::Millis;
use filbertstack_core::serving::Repeat;
use filbertstack_core::status::is_final;
use filbertstack_platform::request::ReplyHead;
use filbertstack_policy::dispatch::AttemptEnd;
use http::Response;
use http::StatusCode;
use spdlog::info;
use spdlog::warn;

use crate::meter::Received;
use crate::request::Call;
use crate::request::attempt::Outcome;
use crate::request::guard::AttemptGuard;
use crate::request::targets::instance_of;

/// How long a target is excluded after it has answered that it is another instance or has other weights.
/// Within this time the registry learns what is at its address.
const MISDIRECTED_EXCLUSION: Millis = Millis(400);

/// The statuses of refusals, which need not name the attempt: a target may send them before it has read the request.
const REFUSALS: [StatusCode; 3] = [
    StatusCode::BAD_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// The statuses that promise a caller that its request has not run.
const PROMISES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Decides from the head of an answer what the outcome of the attempt is.
pub fn classify_answer(
    call: &Call,
    response: Response<Received>,
    mut guard: AttemptGuard,
) -> Outcome {
    let status = response.status();
    guard.status = status.as_u16();
    let head = ReplyHead::read(response.headers(), call.head.attempt.as_ref());
    guard.idle_limit = head.idle_timeout;
    guard.closes_connection = head.closes_connection;
    guard.ends_with_connection = head.ends_with_connection;
    // The rest of an answer without a status of HTTP means nothing either.
    if !is_final(status.as_u16().into()) {
        return reject(call, guard, &head);
    }
    // An answer of another instance says nothing about the target, and a limit ends only with an answer to
    // a request that the target served.
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let served = head.sealed && status.is_success();
    let refused = misdirected || head.not_run && REFUSALS.contains(&status);
    let is_ours = head.answers_attempt || head.unnamed && refused;
    if is_ours && !misdirected && (served || head.rate_limit.is_some()) {
        let node = &guard.requests.node;
        let sent_at = node.clock.now() - Millis::from(guard.sent_at.elapsed());
        node.record_limit(&instance_of(&guard.id).into(), head.rate_limit, sent_at);
    }
    if is_ours && !misdirected {
        record_notices(call, &guard, &head);
    }
    if served && is_ours {
        report_late_begin(call, &guard, &head);
    }
    if is_ours && (head.not_run || misdirected) {
        guard.ended = AttemptEnd::TurnedAway;
        if misdirected {
            let targets = &guard.requests.targets;
            targets.exclude(&guard.id, MISDIRECTED_EXCLUSION);
        }
        return Outcome::NotRun;
    }
    // An answer without the target's seal, to another request, with an encoding that was not asked for or with two
    // ends is not an answer to this request.
    if !is_ours || !head.sealed || head.encoded || head.framed_twice {
        return reject(call, guard, &head);
    }
    // To the caller these statuses are a promise, which the target has not given.
    if PROMISES.contains(&status) {
        info!("refusal does not say that the request has not run", kv: {
            request = call.head.id(), target = instance_of(&guard.id), status = status.as_u16()
        });
        guard.ended = AttemptEnd::Refused;
        return Outcome::Unknown;
    }
    if status.is_server_error() {
        guard.ended = AttemptEnd::Refused;
        let repeats = call.route.repeat == Repeat::Idempotent;
        if repeats {
            return Outcome::Failed(response, guard);
        }
    }
    Outcome::Answer(response, guard)
}

/// Logs that an answer is not one to the request, whose outcome is unknown then.
fn reject(call: &Call, mut guard: AttemptGuard, head: &ReplyHead) -> Outcome {
    info!("answer rejected", kv: {
        request = call.head.id(), target = instance_of(&guard.id), status = guard.status,
        ours = head.answers_attempt, sealed = head.sealed, encoded = head.encoded,
        framed_twice = head.framed_twice
    });
    guard.fail();
    Outcome::Unknown
}

/// Logs and counts an answer that began on a version of the weights that was no longer allowed to begin.
fn report_late_begin(call: &Call, guard: &AttemptGuard, head: &ReplyHead) {
    let targets = &guard.requests.targets;
    let overdue = head.weights.and_then(|v| targets.overdue(&call.service, v));
    let Some(late) = overdue else {
        return;
    };
    warn!("answer begun on replaced weights after their bound", kv: {
        request = call.head.id(), target = instance_of(&guard.id),
        version = head.weights.unwrap_or(0), late_ms = late.0,
        time_limit_ms = guard.limit.0, took_ms = guard.sent_at.elapsed().as_millis(),
        sign_ms = guard.sign_ms()
    });
    let metrics = &guard.requests.metrics;
    metrics.entry.late_begins.add(&call.service, 1);
}

/// Records what the target wants from this entry, whether or not it answered the request.
fn record_notices(call: &Call, guard: &AttemptGuard, head: &ReplyHead) {
    let targets = &guard.requests.targets;
    let turned_away = guard.status == StatusCode::SERVICE_UNAVAILABLE.as_u16();
    if let Some(rest) = head.rest.filter(|_| turned_away) {
        info!("target asks for rest", kv: {
            request = call.head.id(), target = instance_of(&guard.id), rest_ms = rest.as_millis()
        });
        targets.record_rest(&guard.id, Millis::from(rest));
    }
    if head.leaving {
        info!("target says that it leaves", kv: {
            request = call.head.id(), target = instance_of(&guard.id)
        });
        targets.record_leaving(&guard.id);
    }
}
