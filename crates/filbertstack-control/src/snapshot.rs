//! Snapshots of the control state have a canonical form, and the reader checks every byte of it.
//!
//! Every table is written in the order of its keys, so equal states give equal bytes. The reader builds the
//! state and writes it again. If the bytes differ, no state of this version wrote the snapshot.

mod rows;

use std::sync::Arc;

use filbertstack_core::Declarations;
use filbertstack_core::Digest;
use prost::Message;
use thiserror::Error;

use crate::claims::Ledger;
use crate::claims::Row;
use crate::claims::Stage;
use crate::command::Desired;
use crate::command::Instance;
use crate::command::Object;
use crate::command::Publish;
use crate::command::Register as Registration;
use crate::limits::Limits;
use crate::orders::Fence;
use crate::orders::Order;
use crate::requests::DecidedRequest;
use crate::requests::RequestKey;
use crate::state::ControlState;
use rows::ClaimRow;
use rows::DeclaredPart;
use rows::LedgerRow;
use rows::LimitsRow;
use rows::ObjectRow;
use rows::OrderRow;
use rows::OrdersPart;
use rows::RequestRow;
use rows::Snapshot;
use rows::StageTag;

/// The version of the snapshot's format.
const FORMAT: u32 = 1;

/// Why a snapshot was not restored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// The bytes do not decode.
    #[error("the snapshot does not decode ({what}): fetch it again from another voter")]
    Decode {
        /// The decoder's error message.
        what: String,
    },
    /// The snapshot has another format.
    #[error("the snapshot has format {found}, this program reads format {FORMAT}: update it")]
    Format {
        /// The format found.
        found: u32,
    },
    /// A part has content that no state could have written.
    #[error("the snapshot's {part} are damaged: fetch it again from another voter")]
    Damaged {
        /// The damaged part.
        part: &'static str,
    },
}

const fn damaged(part: &'static str) -> RestoreError {
    RestoreError::Damaged { part }
}

/// Returns the snapshot of `state`.
pub(crate) fn write(state: &ControlState) -> Vec<u8> {
    let snapshot = Snapshot {
        format: FORMAT,
        clock: state.clock,
        index: state.index,
        limits: Some(limits_row(&state.limits)),
        declared: Some(declared_part(state)),
        request_mark: state.requests.forgotten_until,
        requests: request_rows(state),
        versions: version_rows(state),
        instances: instance_rows(state),
        orders: Some(orders_part(state)),
        ordinal: state.claims.ordinal,
        ledgers: ledger_rows(state),
        claims: claim_rows(state),
    };
    snapshot.encode_to_vec()
}

fn limits_row(limits: &Limits) -> LimitsRow {
    LimitsRow {
        requests: limits.requests as u64,
        request_age: limits.request_age_ms,
        claims: limits.claims as u64,
        org_claims: limits.org_claims as u64,
        answers: limits.answer_bytes as u64,
    }
}

fn declared_part(state: &ControlState) -> DeclaredPart {
    let declared = &state.declared;
    let row = |(object, revision): (&Object, &u64)| ObjectRow {
        object: object.clone(),
        revision: *revision,
    };
    DeclaredPart {
        text: declared.current.to_string(),
        revision: declared.revision,
        floor: declared.floor,
        written: declared.written.iter().map(row).collect(),
        removed: declared.removed.iter().map(row).collect(),
        history: declared.history.iter().cloned().collect(),
    }
}

/// Returns the requests in the order in which they were decided, which is also the order in which they are
/// forgotten.
fn request_rows(state: &ControlState) -> Vec<RequestRow> {
    let requests = &state.requests;
    let rows = requests.decided.iter();
    let rows = rows.filter_map(|key| requests.rows.get(key).map(|row| (key, row)));
    rows.map(|(key, row)| RequestRow {
        operator: key.operator.clone(),
        request: key.request.clone(),
        body: row.body.to_vec(),
        outcome: row.outcome.clone(),
        at: row.decided_at,
        issued: row.issued,
    })
    .collect()
}

fn version_rows(state: &ControlState) -> Vec<Publish> {
    let catalogue = &state.catalogue;
    let roots = catalogue.iter().map(|(root, _)| root);
    roots.filter_map(|root| catalogue.published(root)).collect()
}

fn instance_rows(state: &ControlState) -> Vec<Instance> {
    let rows = state.register.iter();
    rows.map(|(name, facts)| Instance {
        name: name.to_string(),
        labels: facts.labels.to_string(),
        memory: facts.memory,
    })
    .collect()
}

fn orders_part(state: &ControlState) -> OrdersPart {
    let orders = &state.orders;
    let targets = orders.targets.iter().map(|(name, order)| OrderRow {
        desired: Desired {
            target: name.to_string(),
            holds: order.holds.clone(),
        },
        term: order.fence.term,
        sequence: order.fence.sequence,
    });
    OrdersPart {
        term: orders.term,
        leader: orders.leader.clone(),
        sequence: orders.sequence,
        targets: targets.collect(),
    }
}

fn ledger_rows(state: &ControlState) -> Vec<LedgerRow> {
    let ledgers = state.claims.ledgers.iter();
    ledgers
        .map(|(organisation, ledger)| LedgerRow {
            organisation: organisation.to_string(),
            mark: ledger.forgotten_until,
        })
        .collect()
}

fn claim_rows(state: &ControlState) -> Vec<ClaimRow> {
    let names: Vec<_> = state.claims.ledgers.keys().collect();
    let ledger_index = |row: &Row| names.binary_search(&&row.organisation).unwrap_or(0);
    let rows = state.claims.rows.iter();
    rows.map(|(key, row)| claim_row(key, row, ledger_index(row)))
        .collect()
}

fn claim_row(key: &[u8], row: &Row, ledger_index: usize) -> ClaimRow {
    let (stage, answer) = match &row.stage {
        Stage::Open => (StageTag::Open, None),
        Stage::Ran(answer) => (StageTag::Ran, Some(answer.as_ref().clone())),
        Stage::Unknown => (StageTag::Unknown, None),
        Stage::Released => (StageTag::Released, None),
    };
    ClaimRow {
        key: key.to_vec(),
        ledger: u32::try_from(ledger_index).unwrap_or(u32::MAX),
        body: row.body.to_vec(),
        issued: row.issued,
        entry: row.entry,
        attempt: row.attempt,
        fence: row.fence,
        until: row.until,
        life: row.life,
        expires: row.expires,
        kept: row.answer_ordinal,
        stage: stage as i32,
        answer,
    }
}

/// Reads a state from a snapshot.
pub(crate) fn read(bytes: &[u8]) -> Result<ControlState, RestoreError> {
    let snapshot = Snapshot::decode(bytes).map_err(|error| RestoreError::Decode {
        what: error.to_string(),
    })?;
    if snapshot.format != FORMAT {
        return Err(RestoreError::Format {
            found: snapshot.format,
        });
    }
    let limits = snapshot.limits.clone().ok_or(damaged("limits"))?;
    let mut state = ControlState::with_limits(read_limits(&limits)?);
    state.clock = snapshot.clock;
    state.index = snapshot.index;
    read_declared(
        &mut state,
        snapshot.declared.ok_or(damaged("declarations"))?,
    )?;
    state.requests.forgotten_until = snapshot.request_mark;
    read_requests(&mut state, snapshot.requests)?;
    read_versions(&mut state, snapshot.versions)?;
    read_instances(&mut state, snapshot.instances)?;
    read_orders(&mut state, snapshot.orders.ok_or(damaged("orders"))?)?;
    state.claims.ordinal = snapshot.ordinal;
    read_claims(&mut state, &snapshot.ledgers, snapshot.claims)?;
    if write(&state) != bytes {
        return Err(damaged("bytes"));
    }
    Ok(state)
}

fn read_limits(row: &LimitsRow) -> Result<Limits, RestoreError> {
    let size = |value: u64| usize::try_from(value).map_err(|_| damaged("limits"));
    Ok(Limits {
        requests: size(row.requests)?,
        request_age_ms: row.request_age,
        claims: size(row.claims)?,
        org_claims: size(row.org_claims)?,
        answer_bytes: size(row.answers)?,
    })
}

fn read_declared(state: &mut ControlState, part: DeclaredPart) -> Result<(), RestoreError> {
    let current = Declarations::parse("snapshot", &part.text);
    let rows = |rows: Vec<ObjectRow>| rows.into_iter().map(|row| (row.object, row.revision));
    let declared = &mut state.declared;
    declared.current = current.map_err(|_| damaged("declarations"))?;
    declared.revision = part.revision;
    declared.floor = part.floor;
    declared.written = rows(part.written).collect();
    declared.removed = rows(part.removed).collect();
    declared.history = part.history.into();
    let all = declared.written.values().chain(declared.removed.values());
    if all.into_iter().any(|revision| *revision > part.revision) {
        return Err(damaged("declarations"));
    }
    Ok(())
}

fn read_requests(state: &mut ControlState, rows: Vec<RequestRow>) -> Result<(), RestoreError> {
    for row in rows {
        let key = RequestKey {
            operator: row.operator,
            request: row.request,
        };
        let decided = DecidedRequest {
            body: Digest::from_slice(&row.body).ok_or(damaged("requests"))?,
            outcome: row.outcome,
            decided_at: row.at,
            issued: row.issued,
        };
        state.requests.decided.push_back(key.clone());
        state.requests.rows.insert(key, decided);
    }
    Ok(())
}

fn read_versions(state: &mut ControlState, rows: Vec<Publish>) -> Result<(), RestoreError> {
    for row in rows {
        let result = state.catalogue.publish(row);
        result.map_err(|_| damaged("versions"))?;
    }
    Ok(())
}

fn read_instances(state: &mut ControlState, rows: Vec<Instance>) -> Result<(), RestoreError> {
    let rows = Registration {
        instances: rows,
        gone: Vec::new(),
    };
    let result = state.register.update(&rows);
    result.map(|_| ()).map_err(|_| damaged("instances"))
}

fn read_orders(state: &mut ControlState, part: OrdersPart) -> Result<(), RestoreError> {
    let orders = &mut state.orders;
    orders.term = part.term;
    orders.leader = part.leader;
    orders.sequence = part.sequence;
    for row in part.targets {
        let target = row.desired.target.parse().map_err(|_| damaged("orders"))?;
        let fence = Fence {
            term: row.term,
            sequence: row.sequence,
        };
        if fence.term > part.term || fence.sequence > part.sequence {
            return Err(damaged("orders"));
        }
        let holds = row.desired.holds;
        orders.targets.insert(target, Order { fence, holds });
    }
    Ok(())
}

fn read_claims(
    state: &mut ControlState,
    ledgers: &[LedgerRow],
    rows: Vec<ClaimRow>,
) -> Result<(), RestoreError> {
    let mut names: Vec<Arc<str>> = Vec::new();
    for row in ledgers {
        let name = state.claims.shared_name(&row.organisation);
        let ledger = Ledger {
            forgotten_until: row.mark,
            ..Ledger::default()
        };
        state.claims.ledgers.insert(name.clone(), ledger);
        names.push(name);
    }
    for row in rows {
        let organisation = names.get(row.ledger as usize).cloned();
        let organisation = organisation.ok_or(damaged("claims"))?;
        let key = row.key.as_slice().try_into();
        let key = key.map_err(|_| damaged("claims"))?;
        let row = read_claim(organisation, row)?;
        if row.fence > state.claims.ordinal || row.answer_ordinal > state.claims.ordinal {
            return Err(damaged("claims"));
        }
        state.claims.insert_row(key, row);
    }
    Ok(())
}

fn read_claim(organisation: Arc<str>, row: ClaimRow) -> Result<Row, RestoreError> {
    let body = row.body.as_slice().try_into();
    let stage = match (row.stage(), row.answer) {
        (StageTag::Open, None) => Stage::Open,
        (StageTag::Ran, Some(answer)) => Stage::Ran(Box::new(answer)),
        (StageTag::Unknown, None) => Stage::Unknown,
        (StageTag::Released, None) => Stage::Released,
        _ => return Err(damaged("claims")),
    };
    Ok(Row {
        organisation,
        body: body.map_err(|_| damaged("claims"))?,
        issued: row.issued,
        entry: row.entry,
        attempt: row.attempt,
        fence: row.fence,
        until: row.until,
        life: row.life,
        expires: row.expires,
        stage,
        answer_ordinal: row.kept,
    })
}
