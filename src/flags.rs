//! The flags of the command line. The doc comments inside `xflags!` are the help text.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Brings model weights to many instances at once and routes requests to them.
    ///
    /// Exit codes: 0 done, 1 refused or failed, 2 wrong usage.
    cmd filbertstack {
        /// Runs an entry: callers' and operators' HTTP and, with a disk, a voter.
        cmd entry {
            /// The settings file.
            required --settings file: PathBuf
        }

        /// Runs the agent beside a target.
        cmd agent {
            /// The settings file.
            required --settings file: PathBuf
        }

        /// Runs an entry on a small instance of the platform: callers, operators and heartbeats.
        cmd gateway {
            /// The settings file; by default the one that the platform names.
            optional --settings file: PathBuf
        }

        /// Runs the agent beside a model engine of the platform.
        cmd gateway-agent {
            /// The settings file; by default the one that the platform names.
            optional --settings file: PathBuf
        }

        /// Makes a manifest of a folder's files and adds it to the catalogue.
        ///
        /// The manifest is written into the folder, which the origin has to serve.
        cmd publish {
            /// The folder of the weights.
            required dir: PathBuf
            /// The model's name.
            required --model name: String
            /// The URL under which the origin serves the folder.
            required --origin url: String
            /// The URL under which the weight store serves it.
            optional --store url: String
            /// The size of a chunk, such as 4MiB.
            optional --chunk-size size: String
            /// An entry's address; more than one may be given. Default: $FILBERTSTACK_ENTRY.
            repeated --entry addr: SocketAddr
            /// The file with the operator's key. Default: $FILBERTSTACK_KEY_FILE.
            optional --key-file file: PathBuf
            /// Prints JSON.
            optional --json
        }

        /// Changes what is declared.
        cmd apply {
            /// The file with the sections to write.
            required file: PathBuf
            /// The revision that the change is based on; another one in force refuses it.
            optional --revision number: u64
            /// Names this change: sent again under the same id, it gets the first outcome.
            optional --request-id id: String
            /// Removes an object, as 'deployment NAME', 'pool NAME' or 'rule NAME'.
            repeated --remove object: String
            /// Waits until the change is in force everywhere.
            optional --wait
            /// An entry's address; more than one may be given. Default: $FILBERTSTACK_ENTRY.
            repeated --entry addr: SocketAddr
            /// The file with the operator's key. Default: $FILBERTSTACK_KEY_FILE.
            optional --key-file file: PathBuf
            /// Prints JSON.
            optional --json
        }

        /// Shows what is declared.
        cmd get {
            /// deployments, pools, rules or all.
            required kind: String
            /// An entry's address; more than one may be given. Default: $FILBERTSTACK_ENTRY.
            repeated --entry addr: SocketAddr
            /// The file with the operator's key. Default: $FILBERTSTACK_KEY_FILE.
            optional --key-file file: PathBuf
            /// Prints JSON.
            optional --json
        }

        /// Shows what is declared, what runs, and the difference.
        cmd status {
            /// An entry's address; more than one may be given. Default: $FILBERTSTACK_ENTRY.
            repeated --entry addr: SocketAddr
            /// The file with the operator's key. Default: $FILBERTSTACK_KEY_FILE.
            optional --key-file file: PathBuf
            /// Prints JSON.
            optional --json
        }

        /// Shows what an entry of small instances decides by.
        cmd show {
            /// The entry's metrics address, as IP:port.
            required addr: SocketAddr
        }

        /// Lets a target finish what it has and take nothing new until it is started again.
        cmd drain {
            /// The target's instance name.
            required name: String
            /// An entry's address; more than one may be given. Default: $FILBERTSTACK_ENTRY.
            repeated --entry addr: SocketAddr
            /// The file with the operator's key. Default: $FILBERTSTACK_KEY_FILE.
            optional --key-file file: PathBuf
            /// Prints JSON.
            optional --json
        }

        /// Checks a settings or declaration file without starting anything.
        cmd check {
            /// The file.
            required file: PathBuf
        }

        /// Adds up from the logs of the entries where requests were lost, by moment and reason.
        cmd account {
            /// The logs, in any order; lines that are cut off are left out.
            repeated files: PathBuf
            /// The seconds that a row adds up. Default: 2.
            optional --span seconds: u64
            /// The milliseconds after which a first event counts as slow. Default: 400.
            optional --slow ms: i64
        }

        /// Joins the logs of many processes into the story of one request or one process.
        cmd explain {
            /// The logs, in any order; lines that are cut off are left out.
            repeated files: PathBuf
            /// The request's id.
            optional --request id: String
            /// The process's name.
            optional --node name: String
        }

        /// Shows the whole system at work on this machine: needs no settings.
        cmd demo {
            /// How many model engines; 24 by default.
            optional --targets number: u32
            /// How many requests; 500 by default.
            optional --requests number: u32
            /// Prints the result as JSON on the last line.
            optional --json
        }
    }
}

/// The flags of the stand-ins. Each stand-in is a separate process for tests and trials, so the help
/// text above does not list them.
pub mod standin {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-ins for what the system serves, for tests and trials.
        cmd stand-in {
            /// A model engine.
            cmd engine {
                /// Where it listens; a free loopback port by default.
                optional --listen addr: SocketAddr
                /// The time of a step, in milliseconds.
                optional --step-ms number: u64
                /// The time that a load takes besides reading, in milliseconds.
                optional --load-ms number: u64
                /// The sequences of a batch.
                optional --slots number: usize
                /// Carries out orders with old fencing numbers.
                optional --ignore-fences
            }
            /// An origin of weights.
            cmd origin {
                /// The folder that it serves.
                required dir: PathBuf
                /// Where it listens; a free loopback port by default.
                optional --listen addr: SocketAddr
                /// Its rate in bytes a second.
                optional --rate number: u64
            }
            /// A plain service.
            cmd service {
                /// Its name, which it answers with.
                required name: String
                /// Where it listens; a free loopback port by default.
                optional --listen addr: SocketAddr
                /// The time of a call, in milliseconds.
                optional --latency-ms number: u64
            }
        }
    }
}
