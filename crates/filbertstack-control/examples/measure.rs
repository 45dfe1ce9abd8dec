//! Measures the control state, placement and gossip at a given size.
//!
//! `cargo run --release -p filbertstack-control --example measure -- claims 80000`
//!
//! Memory is measured as the growth of the process's resident set, which includes memory that the allocator
//! keeps after it is freed. So each process runs one measurement: a second one would reuse the memory that
//! the first left free.

use std::collections::BTreeMap;
use std::fs;
use std::time::Instant;

use filbertstack_control::ControlState;
use filbertstack_control::command::Answer;
use filbertstack_control::command::Apply;
use filbertstack_control::command::Batch;
use filbertstack_control::command::Body;
use filbertstack_control::command::Claim;
use filbertstack_control::command::Command;
use filbertstack_control::command::Desired;
use filbertstack_control::command::Duty;
use filbertstack_control::command::Hold;
use filbertstack_control::command::Instance;
use filbertstack_control::command::Orders;
use filbertstack_control::command::Publish;
use filbertstack_control::command::Register;
use filbertstack_control::command::Settle;
use filbertstack_core::Digest;
use filbertstack_core::Labels;
use filbertstack_core::Millis;
use filbertstack_policy::gossip::Facts;
use filbertstack_policy::gossip::Gossip;
use filbertstack_policy::gossip::Liveness;
use filbertstack_policy::gossip::Message;
use filbertstack_policy::gossip::MessageKind;
use filbertstack_policy::gossip::Row;
use filbertstack_policy::gossip::RowKind;
use filbertstack_policy::gossip::Settings;
use filbertstack_policy::gossip::State;
use filbertstack_policy::placement::Assignments;
use filbertstack_policy::placement::DeploymentSpec;
use filbertstack_policy::placement::Fleet;
use filbertstack_policy::placement::Health;
use filbertstack_policy::placement::LoadFailures;
use filbertstack_policy::placement::Member;
use filbertstack_policy::placement::Stage;
use filbertstack_policy::placement::VersionState;
use filbertstack_policy::placement::decide;
use prost::Message as _;

const NOW_MS: u64 = 1_700_000_000_000;
const PAGE_BYTES: usize = 4096;

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let size = |i: usize| arguments.get(i).and_then(|text| text.parse().ok());
    match (arguments.first().map(String::as_str), size(1), size(2)) {
        (Some("claims"), Some(count), answer) => claims(count, answer),
        (Some("deployments"), Some(count), _) => deployments(count),
        (Some("targets"), Some(count), _) => targets(count),
        (Some("placement"), Some(instances), Some(count)) => placement(instances, count),
        (Some("gossip"), Some(entries), Some(targets)) => gossip(entries, targets),
        _ => {
            eprintln!(
                "give claims N [ANSWER], deployments N, targets N, placement N M, gossip N M"
            );
        }
    }
}

fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|n| n.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn bytes_each(total: usize, count: usize) -> usize {
    total / count.max(1)
}

fn micros(start: Instant, count: usize) -> f64 {
    let all = start.elapsed().as_secs_f64() * 1e6;
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    all / f64::from(count)
}

fn run(state: &mut ControlState, body: Body) {
    let index = state.index() + 1;
    state.apply(index, &Command::new(NOW_MS, body).to_bytes());
}

fn snapshot(state: &ControlState) -> String {
    let start = Instant::now();
    let bytes = state.snapshot();
    let write = micros(start, 1) / 1000.0;
    let start = Instant::now();
    let mut other = ControlState::default();
    other.restore(&bytes).expect("a snapshot");
    let read = micros(start, 1) / 1000.0;
    format!(
        "snapshot {} bytes, written in {write:.1} ms, read in {read:.1} ms",
        bytes.len()
    )
}

fn claim(n: usize) -> Claim {
    Claim {
        organisation: format!("organisation-{}", n % 10),
        key: format!("01890a5d-ac96-774b-bcce-{n:012}"),
        issued: Some(NOW_MS),
        body: Digest::of(&n.to_be_bytes()).to_vec(),
        entry: (n % 340) as u64,
        attempt: n as u64,
        until: NOW_MS + 60_000,
        life: 24 * 3_600_000,
    }
}

fn claims(count: usize, answer: Option<usize>) {
    let before = resident_bytes();
    let mut state = ControlState::default();
    let start = Instant::now();
    for first in (0..count).step_by(64) {
        let batch =
            (first..(first + 64).min(count)).map(|n| Command::new(NOW_MS, Body::Claim(claim(n))));
        let commands = batch.collect();
        run(&mut state, Body::Batch(Batch { commands }));
    }
    let claimed = micros(start, count);
    let start = Instant::now();
    for n in 0..count {
        let Claim {
            organisation, key, ..
        } = claim(n);
        let answer = Answer {
            status: 200,
            digest: vec![1; 32],
            bytes: answer.map(|len| vec![2; len]),
        };
        let answer = Some(answer);
        let fence = n as u64 + 1;
        run(
            &mut state,
            Body::Settle(Settle {
                organisation,
                key,
                fence,
                answer,
            }),
        );
    }
    let settled = micros(start, count);
    let bytes = bytes_each(resident_bytes().saturating_sub(before), count);
    println!(
        "claims {count}, answers of {answer:?} bytes: {bytes} bytes each, claim {claimed:.2} us, \
         settle {settled:.2} us; {}",
        snapshot(&state)
    );
}

fn populated_state(instances: usize) -> ControlState {
    let mut state = ControlState::default();
    let row = |n: usize| Instance {
        name: format!("engine-{n:04}"),
        labels: format!(
            "role=llm, tier=t{}, zone=z{}, region=r{}",
            n % 4,
            n % 13,
            n % 6
        ),
        memory: 80 << 30,
    };
    let rows = Register {
        instances: (0..instances).map(row).collect(),
        gone: Vec::new(),
    };
    run(&mut state, Body::Register(rows));
    for version in 0..4_u8 {
        run(
            &mut state,
            Body::Publish(Publish {
                root: Digest::of(&[version]).to_vec(),
                model: "draft".into(),
                weights: 14 << 30,
                manifest: 800_000,
                chunks: 3500,
                operator: "ann".into(),
                ..Publish::default()
            }),
        );
    }
    state
}

fn section(n: usize, replicas: usize) -> String {
    format!(
        "[deployment d{n}]\nlabels = team=t{n}\nmodel = draft\nversion = {}\nreplicas = {replicas}\n\
         memory = 16GiB\npools = tier=t{}\n[rule r{n}]\norder = {n}\nrequests = organisation=o{n}\n\
         deployments = team=t{n}\n",
        Digest::of(&[0]),
        n % 4
    )
}

fn deployments(count: usize) {
    let mut state = populated_state(2000);
    let before = resident_bytes();
    let pools = (0..4)
        .map(|n| format!("[pool p{n}]\nlabels = tier=t{n}\ninstances = role=llm, tier=t{n}\n"));
    let text: String = pools.chain((0..count).map(|n| section(n, 10))).collect();
    let apply = |text: String, request: usize| {
        Body::Apply(Apply {
            request: format!("r{request}"),
            operator: "ann".into(),
            expected: None,
            issued: NOW_MS,
            text,
            removals: Vec::new(),
        })
    };
    run(&mut state, apply(text, 0));
    assert_eq!(state.declared().current().deployments.len(), count);
    let bytes = bytes_each(resident_bytes().saturating_sub(before), count);
    let start = Instant::now();
    for n in 0..50 {
        run(&mut state, apply(section(n % count, 11 + n), n + 1));
    }
    let change = micros(start, 50);
    let one = state.delta(state.declared().revision() - 1).encoded_len();
    let all = state.delta(0).encoded_len();
    println!(
        "deployments and rules {count} before 2,000 instances: {bytes} bytes each, a change \
         {change:.0} us, its delta {one} bytes, all {all} bytes; {}",
        snapshot(&state)
    );
}

fn targets(count: usize) {
    let mut state = populated_state(0);
    let before = resident_bytes();
    let desired = |n: usize, version: u8| Desired {
        target: format!("engine-{n:04}"),
        holds: vec![Hold {
            deployment: "drafting".into(),
            model: "draft".into(),
            version: Digest::of(&[version]).to_vec(),
            duty: Duty::Serve as i32,
        }],
    };
    let orders = |version| {
        Body::Orders(Orders {
            term: 1,
            targets: (0..count).map(|n| desired(n, version)).collect(),
        })
    };
    run(&mut state, orders(0));
    let bytes = bytes_each(resident_bytes().saturating_sub(before), count);
    let start = Instant::now();
    run(&mut state, orders(1));
    let order = micros(start, count);
    println!(
        "targets {count}: {bytes} bytes each, an order {order:.2} us; {}",
        snapshot(&state)
    );
}

fn placement(instances: usize, deployments: usize) {
    let member = |n: usize| {
        let labels = format!("role=llm, zone=z{}, rack=r{}", n % 13, n / 13 % 10);
        let labels: Labels = labels.parse().expect("labels");
        Member::new(labels, 80 << 30, Health::Up(Millis::ZERO))
    };
    let mut fleet: Fleet = (0..instances)
        .map(|n| (format!("engine-{n:04}").parse().expect("a name"), member(n)))
        .collect();
    let want = |n: usize, version: u8| DeploymentSpec {
        deployment: format!("d{n}").parse().expect("a name"),
        version: Digest::of(&[version, u8::try_from(n % 256).unwrap_or(0)]),
        replicas: instances / deployments * 2,
        memory: 16 << 30,
        pools: vec!["role=llm".parse().expect("a selector")],
    };
    let mut wants: Vec<_> = (0..deployments).map(|n| want(n, 0)).collect();
    let faults = LoadFailures::default();
    let now = Millis::secs(100_000);
    let time = |fleet: &Fleet, wants: &[DeploymentSpec], standing: &Assignments| {
        let start = Instant::now();
        let decision = decide(fleet, wants, standing, &faults, now);
        (micros(start, 1) / 1000.0, decision)
    };
    let (first, decision) = time(&fleet, &wants, &Assignments::new());
    let standing = decision.orders;
    for (name, orders) in &standing {
        let holds = orders.iter().map(|one| {
            let holding = VersionState {
                stage: Stage::Serving,
                since: now,
                memory: 16 << 30,
            };
            (one.version, holding)
        });
        fleet.get_mut(name).expect("it").versions = holds.collect::<BTreeMap<_, _>>();
    }
    let (idle, decision) = time(&fleet, &wants, &standing);
    assert!(decision.changed.is_empty());
    let gone = fleet.keys().next().cloned().expect("one");
    fleet.remove(&gone);
    let (lost, _) = time(&fleet, &wants, &standing);
    wants
        .iter_mut()
        .enumerate()
        .for_each(|(n, one)| *one = want(n, 1));
    let (rolled, _) = time(&fleet, &wants, &standing);
    println!(
        "placement of {deployments} deployments on {instances} instances: first {first:.1} ms, at \
         rest {idle:.1} ms, one instance lost {lost:.1} ms, all versions changed {rolled:.1} ms"
    );
}

fn gossip(entries: usize, targets: usize) {
    let row = |kind: RowKind, letter: char, n: usize| Row {
        name: format!("{letter}{n:04}").parse().expect("a name"),
        kind,
        region: format!("region-{}", n % 6).parse().expect("a name"),
        incarnation: NOW_MS,
        version: 1,
        state: State::Up,
        liveness: Liveness::Alive,
        facts: Facts(vec![0; 40].into()),
    };
    let entry_rows = (1..entries).map(|n| row(RowKind::Entry, 'e', n));
    let rows: Vec<_> = entry_rows
        .chain((0..targets).map(|n| row(RowKind::Target, 't', n)))
        .collect();
    let before = resident_bytes();
    let me = row(RowKind::Entry, 'e', 0);
    let mut node = Gossip::new(me, Vec::new(), Settings::DEFAULT, 1);
    let message = Message {
        kind: MessageKind::Page,
        rows: rows.clone(),
        summary: None,
    };
    let mut now = Millis::secs(1000);
    node.receive(&rows[0].name, message, now);
    let bytes = bytes_each(resident_bytes().saturating_sub(before), rows.len());
    let start = Instant::now();
    node.tick(now);
    let refresh = micros(start, 1);
    let start = Instant::now();
    for _ in 0..100 {
        now = now + Millis(4);
        node.tick(now);
    }
    let tick = micros(start, 100);
    let start = Instant::now();
    for row in rows.iter().rev().take(100) {
        let mut news = row.clone();
        news.version = 2;
        let message = Message {
            kind: MessageKind::Push,
            rows: vec![news],
            summary: None,
        };
        node.receive(&rows[0].name, message, now);
    }
    let receive = micros(start, rows.len().min(100));
    println!(
        "gossip among {entries} entries and {targets} targets: {bytes} bytes a row, neighbours \
         chosen in {refresh:.0} us, a round {tick:.1} us, a message {receive:.1} us, {} neighbours",
        node.neighbours().len()
    );
}
