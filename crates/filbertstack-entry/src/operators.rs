//! The HTTP interface for operators: apply, publish, drain, declarations, in-force and status.

use std::sync::Arc;
use std::time::Duration;

use filbertstack_control::command::Apply;
use filbertstack_control::command::Body;
use filbertstack_control::command::Kind;
use filbertstack_control::command::Object;
use filbertstack_control::command::Publish;
use filbertstack_control::outcome::Outcome;
use filbertstack_control::outcome::Reply;
use filbertstack_control::register::Register;
use filbertstack_core::Digest;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::OrgName;
use filbertstack_guard::Guard;
use filbertstack_policy::placement;
use filbertstack_policy::placement::DeploymentStatus;
use filbertstack_policy::placement::LoadFailures;
use filbertstack_wire::Dialer;
use filbertstack_wire::Role;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Empty;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use prost::Message;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::fleet::CLOCK_START;
use crate::fleet::FleetTracker;
use crate::http;
use crate::http::Refusal;
use crate::http::Refuser;
use crate::lead::current_orders;
use crate::lease::Leases;
use crate::ledger::Ledger;
use crate::ledger::ProposeError;
use crate::members::HeldVersion;
use crate::members::Member;
use crate::members::Members;
use crate::question::Asked;
use crate::question::InForce;
use crate::question::query;
use crate::request::bearer_token;
use crate::settings::Callers;
use crate::view::View;
use crate::view::Views;
use crate::voter::Voter;

/// The prefix of operators' paths.
pub const PREFIX: &str = "/operator/";

/// The time that a change may take to commit: an election and a round of the log.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(8);

/// The time that another entry may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// The time that an agent may take to answer a drain call.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of an `apply` request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The client's identifier of the request, the same in every resend.
    pub request: String,
    /// The revision that the change is based on.
    pub expected: Option<u64>,
    /// The time at which the client made the request, in Unix milliseconds, the same in every resend.
    pub issued: u64,
    /// The declared sections, as INI.
    pub text: String,
    /// The objects to remove, each as `kind name`.
    #[serde(default)]
    pub removals: Vec<String>,
}

/// The body of a `publish` request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// The manifest's digest.
    pub root: Digest,
    /// The model's name.
    pub model: String,
    /// The size of the weights in bytes.
    pub weights: u64,
    /// The size of the manifest in bytes.
    pub manifest: u64,
    /// The number of chunks.
    pub chunks: u32,
    /// The URL of the files at the origin.
    pub origin: String,
    /// The URL of the files at the weight store; empty without a weight store.
    #[serde(default)]
    pub store: String,
}

/// The body of a `drain` request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// The target's instance name.
    pub name: InstanceName,
}

/// The handler of operators' requests.
#[derive(Debug)]
pub struct Operators {
    /// The secrets of operators.
    pub operators: Callers,
    /// The client that proposes changes.
    pub ledger: Arc<Ledger>,
    /// The current declarations and orders.
    pub views: Arc<Views>,
    /// The targets that have announced themselves.
    pub members: Arc<Members>,
    /// The dialer of links to agents.
    pub dialer: Arc<Dialer>,
    /// The configuration leases.
    pub leases: Arc<Leases>,
    /// The limit of a request body, in bytes.
    pub max_body: usize,
    /// Answers refused requests.
    pub refuser: Refuser,
}

impl Operators {
    /// Answers one request whose path starts with [`PREFIX`].
    pub fn answer(&self, mut request: Request, guard: &Guard) {
        let answered = self.route(&mut request, guard);
        guard.end_body(request.remote_addr());
        match answered {
            // A caller that has left needs no answer.
            Ok((status, value)) => drop(http::respond_json(request, status, &value)),
            Err(refusal) => self.refuser.refuse(request, refusal),
        }
    }

    fn route(&self, request: &mut Request, guard: &Guard) -> Result<(u16, Value), Refusal> {
        let operator = self.authenticate(request)?;
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        let what = path.strip_prefix(PREFIX).unwrap_or_default();
        match (request.method().clone(), what) {
            (Method::Post, "apply") => {
                let wanted = self.read(request, guard)?;
                self.apply(&operator, wanted)
            }
            (Method::Post, "publish") => {
                let wanted = self.read(request, guard)?;
                self.publish(&operator, wanted)
            }
            (Method::Post, "drain") => {
                let wanted = self.read(request, guard)?;
                self.drain(&wanted)
            }
            (Method::Get, "declarations") => {
                let view = self.views.get();
                Ok((
                    200,
                    json!({ "revision": view.revision(), "declared": view.declared() }),
                ))
            }
            (Method::Get, "in-force") => self.in_force(request.url()),
            (Method::Get, "status") => {
                let mut status = status_json(&self.views.get(), &self.members);
                status["leader"] = json!(self.ledger.leader());
                status["control"] = self.ledger.voter().map_or(Value::Null, control_json);
                Ok((200, status))
            }
            _ => Err(Refusal::not_run(
                404,
                "operators have no such path: see the guide",
            )),
        }
    }

    fn authenticate(&self, request: &Request) -> Result<OrgName, Refusal> {
        let secret = bearer_token(request);
        let operator = secret.and_then(|secret| self.operators.find(secret));
        let text = "no known operator's key: send 'Authorization: Bearer KEY' with yours";
        operator.cloned().ok_or_else(|| Refusal::not_run(401, text))
    }

    fn read<T: for<'de> Deserialize<'de>>(
        &self,
        request: &mut Request,
        guard: &Guard,
    ) -> Result<T, Refusal> {
        let body = http::read_body(request, guard, guard.operators_room(), self.max_body)?;
        let read = serde_json::from_slice(&body.bytes);
        read.map_err(|error| Refusal::not_run(400, format!("the body does not read: {error}")))
    }

    fn apply(&self, operator: &OrgName, wanted: ApplyRequest) -> Result<(u16, Value), Refusal> {
        let removals: Result<Vec<Object>, Refusal> = wanted
            .removals
            .iter()
            .map(|text| parse_object(text))
            .collect();
        let body = Body::Apply(Apply {
            request: wanted.request,
            operator: operator.to_string(),
            expected: wanted.expected,
            issued: wanted.issued,
            text: wanted.text,
            removals: removals?,
        });
        self.propose(body)
    }

    fn publish(&self, operator: &OrgName, wanted: PublishRequest) -> Result<(u16, Value), Refusal> {
        let body = Body::Publish(Publish {
            root: wanted.root.to_vec(),
            model: wanted.model,
            weights: wanted.weights,
            manifest: wanted.manifest,
            chunks: wanted.chunks,
            operator: operator.to_string(),
            origin: wanted.origin,
            store: wanted.store,
        });
        self.propose(body)
    }

    /// Answers whether a revision is in force everywhere, as the leader sees it.
    fn in_force(&self, url: &str) -> Result<(u16, Value), Refusal> {
        let revision = url
            .split("revision=")
            .nth(1)
            .and_then(|text| text.parse().ok());
        let invalid = || Refusal::not_run(400, "name the revision: in-force?revision=NUMBER");
        let revision: u64 = revision.ok_or_else(invalid)?;
        let local = self.leases.in_force(revision);
        let force = local.or_else(|_| {
            let answer = self
                .ledger
                .ask(&query(Asked::InForce(revision)), ASK_TIMEOUT);
            match answer {
                Ok(Tell::Payload(Payload { body })) => {
                    InForce::decode(body).map_err(|error| error.to_string())
                }
                Ok(_) => Err("another reply than was asked for".into()),
                Err(error) => Err(error.to_string()),
            }
        });
        let force = force.map_err(|text| Refusal::not_run(503, text).retry_after_ms(1000))?;
        Ok((
            200,
            json!({ "everywhere": force.everywhere, "waiting": force.waiting }),
        ))
    }

    /// Tells the target's agent to refuse new requests.
    fn drain(&self, wanted: &DrainRequest) -> Result<(u16, Value), Refusal> {
        let live = self.members.live();
        let member = live.iter().find(|member| member.name == wanted.name);
        let member = member
            .ok_or_else(|| Refusal::not_run(404, "no live target has this name: see 'status'"))?;
        let ask = Ask::Drain(Empty {});
        let answer = self
            .dialer
            .ask(member.addr, Role::Agent, ask, DRAIN_TIMEOUT);
        answer.map_err(|error| Refusal::not_run(503, error.to_string()).retry_after_ms(1000))?;
        Ok((200, json!({ "leaving": member.name })))
    }

    fn propose(&self, body: Body) -> Result<(u16, Value), Refusal> {
        match self.ledger.propose(body, PROPOSE_TIMEOUT) {
            Ok(outcome) => Ok(outcome_json(outcome)),
            Err(ProposeError::NotRun(text)) => {
                Err(Refusal::not_run(503, format!("not run: {text}")).retry_after_ms(1000))
            }
            Err(ProposeError::Unknown(text)) => {
                let text = format!("{text}: send it again under the same request id");
                Err(Refusal::unknown(504, text))
            }
        }
    }
}

fn parse_object(text: &str) -> Result<Object, Refusal> {
    let kind_of = |kind| match kind {
        "deployment" => Some(Kind::Deployment),
        "pool" => Some(Kind::Pool),
        "rule" => Some(Kind::Rule),
        _ => None,
    };
    let split = text
        .split_once(' ')
        .and_then(|(kind, name)| Some((kind_of(kind)?, name)));
    let invalid = || {
        let text = format!(
            "'{text}' is nothing to remove: write 'deployment NAME', 'pool NAME' or \
                            'rule NAME'"
        );
        Refusal::not_run(400, text)
    };
    split
        .map(|(kind, name)| Object::new(kind, name))
        .ok_or_else(invalid)
}

/// Returns the HTTP status and the body that answer an operator for an outcome.
fn outcome_json(outcome: Outcome) -> (u16, Value) {
    match outcome.reply {
        Some(Reply::Accepted(accepted)) => {
            let warnings: Vec<String> = accepted.warnings.iter().map(ToString::to_string).collect();
            (
                200,
                json!({ "accepted": { "revision": accepted.revision, "changed": accepted.changed, "warnings": warnings } }),
            )
        }
        Some(Reply::Conflict(conflict)) => {
            let won = conflict.won.map(|won| {
                json!({ "revision": won.revision, "operator": won.operator, "request": won.request })
            });
            (
                409,
                json!({ "conflict": { "current": conflict.current, "won": won } }),
            )
        }
        Some(Reply::Rejected(rejected)) => {
            let reasons: Vec<String> = rejected.reasons.iter().map(ToString::to_string).collect();
            (422, json!({ "rejected": { "reasons": reasons } }))
        }
        Some(Reply::Done(done)) => (200, json!({ "done": { "changed": done.changed } })),
        other => (
            500,
            json!({ "error": { "message": format!("unexpected: {other:?}") } }),
        ),
    }
}

/// Returns the status: what is declared, what is serving, and the difference.
fn status_json(view: &View, members: &Members) -> Value {
    let live = members.live();
    let lost: Vec<String> = members.lost().iter().map(|m| m.name.to_string()).collect();
    json!({
        "revision": view.revision(),
        "term": view.term(),
        "deployments": deployments_json(view, &live),
        "targets": live.iter().map(target_json).collect::<Vec<_>>(),
        "lost": lost,
    })
}

/// Returns the state of the group of voters as this entry's voter sees it.
fn control_json(voter: &Voter) -> Value {
    let status = voter.status();
    let names = |members: &[filbertstack_log::Member]| -> Vec<Value> {
        let members = members.iter();
        members
            .map(|m| json!({ "name": m.name, "node": m.node.to_string() }))
            .collect()
    };
    let membership = &status.node.membership;
    json!({
        "voters": names(&membership.voters),
        "learners": names(&membership.learners),
        "forming": membership.forming,
        "commit": status.node.commit,
        "applied": status.applied,
        "disk-full": status.node.full,
        "failed": status.failed,
    })
}

/// Returns the status of each deployment, computed by placement from this entry's view.
fn deployments_json(view: &View, live: &[Member]) -> Vec<Value> {
    let now = CLOCK_START;
    let chunks = |version: &Digest| view.version(*version).map_or(0, |facts| facts.chunks);
    let weights = |version: &Digest| view.version(*version).map_or(0, |facts| facts.weights);
    let fleet = FleetTracker::default().observe(now, live, &Register::default(), chunks);
    let wants = placement::deployment_specs(view.declared(), weights);
    let faults = LoadFailures::default();
    let decision = placement::decide(&fleet, &wants, &current_orders(view), &faults, now);
    let all = placement::status(&fleet, &wants, &decision, &faults, now);
    all.iter().map(deployment_json).collect()
}

fn deployment_json(status: &DeploymentStatus) -> Value {
    let why: Vec<String> = status.reasons.iter().map(ToString::to_string).collect();
    json!({
        "deployment": status.deployment,
        "version": status.version,
        "declared": status.counts.declared,
        "serving": status.counts.serving,
        "older": status.counts.other_version,
        "met": status.is_met(),
        "why": why,
    })
}

fn target_json(member: &Member) -> Value {
    json!({
        "name": member.name,
        "zone": member.zone,
        "leaving": member.leaving,
        "service": member.service,
        "held": member.held.iter().map(held_json).collect::<Vec<_>>(),
    })
}

fn held_json(held: &HeldVersion) -> Value {
    json!({
        "deployment": held.deployment,
        "version": held.version,
        "stage": format!("{:?}", held.stage).to_lowercase(),
        "chunks": held.chunks,
        "trouble": held.trouble,
    })
}
