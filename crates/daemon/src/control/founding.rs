//! Remembers on disk that an instance belongs to the first start of its deployment. Its
//! process may end before the log is bootstrapped, and is then started again as usual.

use error_stack::Report;
use pomelovale_coordination::log::{read_file, replace_file};
use pomelovale_state::ErrorKind;

use super::config::{ControlConfig, Joining};

/// File that is written before all others of a directory. It holds the names of the
/// instances that have to take part in the bootstrap, one a line.
const FILE: &str = "founding";

/// Whether the instance may bootstrap the log if its directory is empty.
pub(super) fn is_founding(config: &ControlConfig) -> Result<bool, Report<ErrorKind>> {
    let path = config.directory.join(FILE);
    let names = seeds(config);
    match config.joining {
        Joining::Fixed => Ok(true),
        Joining::ByAddress { founding: true, .. } => {
            // An existing directory may be one that has lost other files.
            if !config.directory.join("identity").exists() {
                replace_file(&path, names.as_bytes())?;
            }
            Ok(true)
        }
        // With other seeds, a log may have been bootstrapped among these.
        Joining::ByAddress { .. } => Ok(read_file(&path)?.as_deref() == Some(names.as_bytes())),
    }
}

fn seeds(config: &ControlConfig) -> String {
    let mut names: Vec<&str> = config.peers.iter().map(|p| p.name.as_str()).collect();
    names.sort_unstable();
    names.join("\n")
}
