//! Operators' and engines' calls over HTTP, and the questions of callers and platform.

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
use filbertstack_core::serving::Catalogue;
use filbertstack_platform::catalogue;
use filbertstack_platform::control::CallError;
use filbertstack_platform::control::ControlCall;
use filbertstack_platform::control::Heartbeat;
use filbertstack_platform::control::JSON;
use filbertstack_platform::control::failure;
use filbertstack_platform::control::heartbeat_answer;
use filbertstack_platform::control::read;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use prost::Message as _;
use spdlog::info;

use crate::control::node::GroupError;
use crate::control::node::Node;
use crate::entry::server::Service;
use crate::link::messages::Kind;
use crate::link::messages::Row;
use crate::link::messages::TargetRow;
use crate::request::answer::AnswerBody;

/// The longest body that is read: a document of 4 MiB with room to tell that it is too long.
const LONGEST: usize = (4 << 20) + (64 << 10);

/// How long a body may take to arrive.
const BODY: Duration = Duration::from_secs(10);

/// Serves the control address.
pub struct ControlApi {
    node: Rc<Node>,
}

impl ControlApi {
    /// Calls to `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self { node }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Bytes, Failed> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, LONGEST).collect();
        let body = tokio::time::timeout(BODY, body).await;
        let body =
            body.map_err(|_| Failed(StatusCode::REQUEST_TIMEOUT, "the body is late".into()))?;
        let body = body.map_err(|e| Failed(StatusCode::BAD_REQUEST, e.to_string()))?;
        let body = body.to_bytes();
        match read(&head.method, head.uri.path(), &body)? {
            ControlCall::PutDocument => self.put(body).await,
            ControlCall::ReadDocument => self.read().await,
            ControlCall::NameWeights { model, version } => self.name(&model, version).await,
            ControlCall::Heartbeat(heartbeat) => self.hear(heartbeat).await,
            ControlCall::Leave { id } => self.leave(&id).await,
        }
    }

    /// A document that can't be read or is invalid is refused whatever its version. One that is
    /// not newer than what is held changes nothing and is acknowledged: its sender may have lost
    /// the first answer.
    async fn put(&self, body: Bytes) -> Result<Bytes, Failed> {
        let invalid = |why: String| Failed(StatusCode::BAD_REQUEST, why);
        let parts = catalogue::read(&body).map_err(|e| invalid(e.to_string()))?;
        let version = parts.version;
        Catalogue::build(parts).map_err(|e| invalid(e.to_string()))?;
        if version <= self.node.declared.version() {
            info!("configuration not newer than the one held", kv: { version = version });
            return Ok(Bytes::from_static(b"{}"));
        }
        let packed = Packed::pack(&Document { version, body });
        let packed = packed.map_err(|e| Failed(StatusCode::SERVICE_UNAVAILABLE, e.to_string()))?;
        self.commit(ChangeKind::Packed(packed)).await?;
        info!("configuration accepted", kv: { version = version });
        Ok(Bytes::from_static(b"{}"))
    }

    async fn read(&self) -> Result<Bytes, Failed> {
        let document = self.node.read().await?;
        if document.version == 0 {
            let why = "no configuration was accepted yet".into();
            return Err(Failed(StatusCode::SERVICE_UNAVAILABLE, why));
        }
        Ok(document.body)
    }

    async fn name(&self, model: &str, version: u64) -> Result<Bytes, Failed> {
        let model = model.to_owned();
        self.commit(ChangeKind::Weights(Weights {
            model: model.clone(),
            version,
        }))
        .await?;
        info!("version of weights accepted", kv: { model = model, version = version });
        Ok(Bytes::from_static(b"{}"))
    }

    async fn commit(&self, kind: ChangeKind) -> Result<(), Failed> {
        let change = Change { kind: Some(kind) };
        self.node.propose(change.encode_to_vec().into()).await?;
        Ok(())
    }

    async fn hear(&self, heartbeat: Heartbeat) -> Result<Bytes, Failed> {
        self.register(row(&heartbeat)).await?;
        Ok(heartbeat_answer(self.nearer()))
    }

    async fn register(&self, row: Row) -> Result<(), Failed> {
        let registered = self.node.register(vec![row.clone()]).await;
        if registered.is_err() {
            self.node.unregistered.put(row, self.node.clock.now());
        }
        Ok(registered?)
    }

    /// Where heartbeats go without a detour: a voter takes them in itself.
    fn nearer(&self) -> Option<SocketAddr> {
        let control = self.node.settings.listen.control?;
        if self.node.voter.is_some() {
            return Some(control);
        }
        let voter = self.node.followed()?;
        Some(SocketAddr::new(voter.ip(), control.port()))
    }

    async fn leave(&self, id: &Arc<str>) -> Result<Bytes, Failed> {
        self.register(Row::left(id)).await?;
        info!("target left", kv: { id = id.to_string() });
        Ok(Bytes::from_static(b"{}"))
    }
}

fn row(heartbeat: &Heartbeat) -> Row {
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

/// A call that is answered with a failure.
#[derive(Debug)]
struct Failed(StatusCode, String);

impl From<CallError> for Failed {
    fn from(error: CallError) -> Self {
        let status = match error {
            CallError::Unknown => StatusCode::NOT_FOUND,
            CallError::Malformed(_) => StatusCode::BAD_REQUEST,
        };
        Self(status, error.to_string())
    }
}

impl From<GroupError> for Failed {
    fn from(error: GroupError) -> Self {
        Self(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
    }
}

impl Service for ControlApi {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        match self.handle(request).await {
            Ok(body) => json_response(StatusCode::OK, body),
            Err(Failed(status, why)) => {
                info!("call failed", kv: {
                    method = method.as_str(), path = path, status = status.as_u16(),
                    error = why.clone()
                });
                json_response(status, failure(&why))
            }
        }
    }

    fn head_limit(&self) -> usize {
        16 << 10
    }

    fn idle(&self) -> Duration {
        Duration::from_secs(30)
    }
}

/// An answer with a JSON body.
pub fn json_response(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Full::new(body)));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static(JSON);
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
