//! Measures the time of one commit, and of many at once, by group size, on a real file system.

mod group;

use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;

use crate::group::Group;

/// The group sizes.
const VOTERS: [usize; 3] = [1, 3, 5];
/// The numbers of callers that propose at the same time.
const CALLERS: [usize; 3] = [1, 16, 64];

fn commits(criterion: &mut Criterion) {
    let mut bench = criterion.benchmark_group("commit");
    bench.sample_size(10);
    for voters in VOTERS {
        let group = Group::form(voters);
        for callers in CALLERS {
            bench.throughput(Throughput::Elements(callers as u64));
            let id = BenchmarkId::new(format!("{voters} voters"), format!("{callers} at once"));
            bench.bench_function(id, |b| {
                b.iter_custom(|rounds| {
                    let start = Instant::now();
                    group.propose(callers, rounds);
                    start.elapsed()
                });
            });
        }
    }
    bench.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    commits(&mut criterion);
    criterion.final_summary();
}
