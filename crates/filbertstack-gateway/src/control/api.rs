//! The HTTP API on the control address: operators send the configuration and versions of weights, and
//! targets send heartbeats.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_control::document::Change;
use filbertstack_control::document::Document;
use filbertstack_control::document::Kind as ChangeKind;
use filbertstack_control::document::Packed;
use filbertstack_control::document::Weights;
use filbertstack_control::document::ZoneChange;
use filbertstack_core::serving::Catalogue;
use filbertstack_platform::catalogue;
use filbertstack_platform::control::BodyKind;
use filbertstack_platform::control::CONTENT_TYPE_JSON;
use filbertstack_platform::control::CallError;
use filbertstack_platform::control::ControlCall;
use filbertstack_platform::control::Heartbeat;
use filbertstack_platform::control::body_kind;
use filbertstack_platform::control::error_body;
use filbertstack_platform::control::heartbeat_answer;
use filbertstack_platform::control::read_call;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use prost::Message as _;
use spdlog::info;

use crate::control::node::GroupError;
use crate::control::node::Node;
use crate::entry::server::Service;
use crate::link::messages::Kind;
use crate::link::messages::Row;
use crate::link::messages::TargetRow;
use crate::meter::ReadError;
use crate::meter::Received;
use crate::request::answer::AnswerBody;
use crate::room::Room;
use crate::room::Share;

/// The most bytes of a body that are read. A document may have 4 MiB; the extra bytes let one that is
/// slightly longer be refused with a precise reason.
const MAX_BODY_BYTES: usize = (4 << 20) + (64 << 10);

/// The most bytes of a heartbeat or of the name of a version: many times the longest that targets send.
const MAX_FIELDS_BYTES: usize = 64 << 10;

/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a call that changes a zone is held, so that a closed connection of its sender is noticed: some rounds
/// of the event loop.
const CLOSE_CHECK: Duration = Duration::from_millis(20);

/// The most zones that can be evacuated at once, many times the zones of any deployment. It bounds the state where
/// no setting names the zones.
const MAX_EVACUATED: usize = 256;

/// The service on the control address.
pub struct ControlApi {
    node: Rc<Node>,
    /// The memory for bodies of calls.
    room: Room,
}

impl ControlApi {
    /// Creates the API of `node`.
    pub fn new(node: Rc<Node>) -> Self {
        let limits = node.settings.limits;
        Self {
            room: Room::new(limits.control_room(), node.clock),
            node,
        }
    }

    async fn handle(&self, request: Request<Received>) -> Result<Bytes, CallFailure> {
        let (head, body) = request.into_parts();
        let share = self.room.begin();
        let body = match body_kind(head.uri.path()) {
            BodyKind::Document => read_body(body, MAX_BODY_BYTES, &share).await?,
            BodyKind::Fields => read_body(body, MAX_FIELDS_BYTES, &share).await?,
            BodyKind::None => Bytes::new(),
        };
        match read_call(&head.method, head.uri.path(), &body)? {
            ControlCall::PutDocument => self.put_document(body).await,
            ControlCall::ReadDocument => self.read_document().await,
            ControlCall::NameWeights { model, version } => self.name_weights(&model, version).await,
            ControlCall::Heartbeat(heartbeat) => self.accept_heartbeat(heartbeat).await,
            ControlCall::Leave { id } => self.remove_target(&id).await,
            ControlCall::Evacuate { zone } => self.change_zone(&zone, true).await,
            ControlCall::Readmit { zone } => self.change_zone(&zone, false).await,
        }
    }

    /// Commits a document. One that can't be parsed or is invalid is refused whatever its version.
    ///
    /// One that is not newer than the current document changes nothing and is acknowledged, because
    /// its sender may have missed the first answer.
    async fn put_document(&self, body: Bytes) -> Result<Bytes, CallFailure> {
        let invalid = |why: String| CallFailure(StatusCode::BAD_REQUEST, why);
        let parts = catalogue::read(&body).map_err(|e| invalid(e.to_string()))?;
        let version = parts.version;
        Catalogue::build(parts).map_err(|e| invalid(e.to_string()))?;
        if version <= self.node.declared.version() {
            info!("ignored a configuration that is not newer than the current one",
                kv: { version = version });
            return Ok(Bytes::from_static(b"{}"));
        }
        let packed = Packed::pack(&Document { version, body });
        let packed =
            packed.map_err(|e| CallFailure(StatusCode::SERVICE_UNAVAILABLE, e.to_string()))?;
        self.commit(ChangeKind::Packed(packed)).await?;
        info!("configuration accepted", kv: { version = version });
        Ok(Bytes::from_static(b"{}"))
    }

    async fn read_document(&self) -> Result<Bytes, CallFailure> {
        let document = self.node.read_document().await?;
        if document.version == 0 {
            let why = "no configuration was accepted yet".into();
            return Err(CallFailure(StatusCode::SERVICE_UNAVAILABLE, why));
        }
        Ok(document.body)
    }

    async fn name_weights(&self, model: &str, version: u64) -> Result<Bytes, CallFailure> {
        let model = model.to_owned();
        self.commit(ChangeKind::Weights(Weights {
            model: model.clone(),
            version,
        }))
        .await?;
        info!("version of weights accepted", kv: { model = model, version = version });
        Ok(Bytes::from_static(b"{}"))
    }

    /// Commits the evacuation of a zone or its withdrawal. The same call again is committed as well: what this
    /// node knows may be out of date.
    ///
    /// A process that was suspended finds calls whose senders have long repeated them elsewhere. One of them must
    /// not undo a later call. Either its sender's closed connection drops it during the pause, or what this node
    /// knew when it found the call is out of date.
    async fn change_zone(&self, zone: &Arc<str>, evacuated: bool) -> Result<Bytes, CallFailure> {
        self.check_zone(zone, evacuated)?;
        let known = self.node.declared.evacuations().state().clone();
        tokio::time::sleep(CLOSE_CHECK).await;
        self.commit(ChangeKind::Zone(ZoneChange {
            zone: zone.to_string(),
            evacuated,
            known: Some(known),
        }))
        .await?;
        info!("evacuation call accepted", kv: { zone = zone.to_string(), evacuated = evacuated });
        Ok(Bytes::from_static(b"{}"))
    }

    /// Refuses a zone that the settings do not name, as a misspelt zone would be evacuated in name only. The
    /// evacuation of a zone that was since removed from the settings can still be withdrawn.
    fn check_zone(&self, zone: &Arc<str>, evacuated: bool) -> Result<(), CallFailure> {
        let zones = &self.node.settings.regions;
        let evacuations = self.node.declared.evacuations();
        let known = zones.is_empty() || zones.contains_key(zone) || evacuations.contains(zone);
        if !known {
            let names: Vec<&str> = zones.keys().map(|name| &**name).collect();
            let why = format!("no zone has this name; name one of {}", names.join(", "));
            return Err(CallFailure(StatusCode::NOT_FOUND, why));
        }
        if evacuated && !evacuations.contains(zone) && evacuations.count() >= MAX_EVACUATED {
            let why = format!("{MAX_EVACUATED} zones are evacuated; withdraw one first");
            return Err(CallFailure(StatusCode::CONFLICT, why));
        }
        Ok(())
    }

    async fn commit(&self, kind: ChangeKind) -> Result<(), CallFailure> {
        let change = Change { kind: Some(kind) };
        self.node.propose(change.encode_to_vec().into()).await?;
        Ok(())
    }

    async fn accept_heartbeat(&self, heartbeat: Heartbeat) -> Result<Bytes, CallFailure> {
        if heartbeat.cold_unread {
            info!("cold time of a heartbeat can't be read, counted as 0", kv: {
                id = heartbeat.id.to_string()
            });
        }
        self.register(target_row(&heartbeat)).await?;
        Ok(heartbeat_answer(self.direct_address()))
    }

    async fn register(&self, row: Row) -> Result<(), CallFailure> {
        let registered = self.node.register(vec![row.clone()]).await;
        if registered.is_err() {
            self.node.unregistered.put(row, self.node.clock.now());
        }
        Ok(registered?)
    }

    /// Returns the control address of a voter, to which targets can send heartbeats directly.
    fn direct_address(&self) -> Option<SocketAddr> {
        let control = self.node.settings.listen.control?;
        if self.node.voter.is_some() {
            return Some(control);
        }
        let voter = self.node.followed()?;
        Some(SocketAddr::new(voter.ip(), control.port()))
    }

    async fn remove_target(&self, id: &Arc<str>) -> Result<Bytes, CallFailure> {
        self.register(Row::left(id)).await?;
        info!("target deregistered", kv: { id = id.to_string() });
        Ok(Bytes::from_static(b"{}"))
    }
}

async fn read_body(body: Received, limit: usize, share: &Share) -> Result<Bytes, CallFailure> {
    let body = tokio::time::timeout(BODY_TIMEOUT, body.read_kept(limit, 0, share)).await;
    let body =
        body.map_err(|_| CallFailure(StatusCode::REQUEST_TIMEOUT, "the body is late".into()))?;
    body.map_err(|error| {
        let status = match error {
            ReadError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            ReadError::TooLong(_) | ReadError::Broken(_) => StatusCode::BAD_REQUEST,
        };
        CallFailure(status, error.to_string())
    })
}

fn target_row(heartbeat: &Heartbeat) -> Row {
    let holding = heartbeat.holding.as_ref();
    Row {
        id: heartbeat.id.to_string(),
        born: heartbeat.born,
        sequence: heartbeat.sequence,
        gone: false,
        kind: Some(Kind::Target(TargetRow {
            service: heartbeat.service.to_string(),
            addr: heartbeat.addr.to_string(),
            zone: heartbeat.zone.to_string(),
            slots: heartbeat.slots,
            draining: heartbeat.draining,
            version: holding.map_or(0, |h| h.version),
            cold_ms: heartbeat.cold_ms,
        })),
    }
}

/// The status and the text that answer a failed call.
#[derive(Debug)]
struct CallFailure(StatusCode, String);

impl From<CallError> for CallFailure {
    fn from(error: CallError) -> Self {
        let status = match error {
            CallError::Unknown => StatusCode::NOT_FOUND,
            CallError::Malformed(_) | CallError::ZoneName(_) => StatusCode::BAD_REQUEST,
        };
        Self(status, error.to_string())
    }
}

impl From<GroupError> for CallFailure {
    fn from(error: GroupError) -> Self {
        Self(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
    }
}

impl Service for ControlApi {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Received>) -> Response<AnswerBody> {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        match self.handle(request).await {
            Ok(body) => json_response(StatusCode::OK, body),
            Err(CallFailure(status, why)) => {
                info!("control call failed", kv: {
                    method = method.as_str(), path = path, status = status.as_u16(),
                    error = why.clone()
                });
                json_response(status, error_body(&why))
            }
        }
    }

    fn head_limit(&self) -> usize {
        16 << 10
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_secs(30)
    }
}

/// Returns an answer with a JSON body.
pub fn json_response(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Full::new(body)));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static(CONTENT_TYPE_JSON);
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
