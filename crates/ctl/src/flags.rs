//! The command line's shape.

#![allow(missing_docs)]

use std::path::PathBuf;

use kingcupford_config::DrainTarget;

use crate::console::Format;

// Nested commands have their parent's name in front, since each name is also that of a type; the
// alias behind it is what operators type.
xflags::xflags! {
    /// Shows and changes a kingcupford deployment by its platform.
    ///
    /// EXIT CODES:
    ///   0 done, and confirmed by every zone with entry hosts
    ///   1 internal error
    ///   2 usage or invalid input
    ///   3 rejected, with every fault
    ///   4 lost a race against another change
    ///   5 undetermined: the answer was lost and not found out in time
    ///   6 platform unavailable, nothing changed
    ///   7 changed, but not confirmed by every zone in time
    ///   8 the watched rollout was rolled back
    cmd kingcupford-ctl {
        /// Base URL of the platform, for example http://10.0.0.1:7000.
        required --platform url: String
        /// Format of the output: table or json.
        optional --format format: Format
        /// Time for reading or for getting a change accepted, 10 s by default.
        optional --timeout-s seconds: u64
        /// Time for the confirmation by every zone, 10 s by default.
        optional --confirm-s seconds: u64
        /// Does not wait for the confirmation by every zone.
        optional --no-wait

        /// Shows what applying a folder would change, and every fault in it.
        cmd plan {
            /// Folder of declarations.
            required folder: PathBuf
        }
        /// Makes a folder the configuration as one new version.
        cmd apply {
            /// Folder of declarations.
            required folder: PathBuf
            /// Revision of the folder in version control.
            required --revision revision: String
            /// The version that `plan` named; the current one without it.
            optional --planned-version version: u64
            /// Accepts a changed `active_version` without a finished rollout.
            optional --without-rollout
        }
        /// Shows the active version, its revision, preset and counts.
        cmd show {}
        /// Lists presets and switches between them.
        cmd preset {
            /// Lists the presets.
            cmd preset-list list {}
            /// Makes a preset the active one.
            cmd preset-switch switch {
                /// Name of the preset.
                required name: String
            }
        }
        /// Issues, revokes and lists keys of callers.
        cmd key {
            /// Issues a key and prints it once.
            cmd key-issue issue {
                /// The tenant that gets the key.
                required --tenant tenant: String
                /// Public identifier of the key; one is made up without it.
                optional --id id: String
            }
            /// Revokes a key.
            cmd key-revoke revoke {
                /// Public identifier of the key.
                required id: String
            }
            /// Lists identifiers and tenants of the keys.
            cmd key-list list {}
        }
        /// Starts, follows and rolls back replacements of a service's version.
        cmd rollout {
            /// Starts a rollout.
            cmd rollout-start start {
                /// The service.
                required --service service: String
                /// The version that replaces the active one.
                required --to version: String
                /// Time from now by which it is done or rolled back.
                required --deadline-s seconds: u64
            }
            /// Follows rollouts to their end.
            cmd rollout-watch watch {
                /// The service, every service with an open rollout without it.
                optional service: String
            }
            /// Rolls a rollout back.
            cmd rollout-rollback rollback {
                /// The service.
                required --service service: String
                /// Why, kept in the rollout's object.
                required --note text: String
            }
            /// Lists the last rollout of each service.
            cmd rollout-list list {}
        }
        /// Takes parts out of service by drains of the active preset.
        cmd drain {
            /// Adds a drain to the active preset.
            cmd drain-add add {
                /// Kind of the part: region, zone, site, instance or host.
                required --target target: DrainTarget
                /// Name of the part.
                required --name name: String
            }
            /// Removes a drain from the active preset.
            cmd drain-remove remove {
                /// Kind of the part: region, zone, site, instance or host.
                required --target target: DrainTarget
                /// Name of the part.
                required --name name: String
            }
            /// Shows the drains in force.
            cmd drain-status status {}
        }
        /// Shows zones, hosts, free slots, rollouts and shares.
        cmd status {}
        /// Shows the status again and again.
        cmd watch {
            /// Time between two readings, 2 s by default.
            optional --every-s seconds: u64
            /// Number of readings, without end by default.
            optional --count count: u64
        }
    }
}

/// Commands with commands below them.
const PARENTS: [&str; 4] = ["preset", "key", "rollout", "drain"];

/// The help with the names of nested commands as operators type them.
pub(crate) fn help(text: &str) -> String {
    let mut res = String::new();
    for line in text.lines() {
        let is_command = line.starts_with("kingcupford-ctl");
        let mut line = line.split(" | ").next().filter(|_| is_command).unwrap_or(line).to_owned();
        for parent in PARENTS {
            line = line.replace(&format!("{parent} {parent}-"), &format!("{parent} "));
        }
        res.push_str(&line);
        res.push('\n');
    }
    res
}
