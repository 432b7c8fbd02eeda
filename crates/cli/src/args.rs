//! Options that all commands share, and helpers to parse arguments.

use std::path::Path;
use std::str::FromStr;

use pico_args::Arguments;
use pomelovale_state::Name;

use crate::error::CliError;

/// Options that all commands share.
#[derive(Clone, Debug, Default)]
pub struct Global {
    /// Operators' listeners, tried in order.
    pub operators: Vec<String>,
    /// The operator's key.
    pub key: String,
    /// Identifier of the operator's key, which keeps equal request identifiers
    /// of two operators distinct.
    pub sender: Name,
    /// Whether lists are printed as JSON.
    pub json: bool,
    /// Request identifier given by `--request`.
    pub request: Option<Name>,
    /// Version given by `--base`.
    pub base: Option<u64>,
}

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

/// Reads the options that all commands share.
pub fn global(args: &mut Arguments) -> Result<Global, CliError> {
    let operators: Option<String> = args.opt_value_from_str("--operators")?;
    let key_file: Option<String> = args.opt_value_from_str("--key-file")?;
    let request: Option<String> = args.opt_value_from_str("--request")?;
    let list = operators
        .or_else(|| environment_variable("POMELOVALE_OPERATORS"))
        .unwrap_or_default();
    let key = match key_file.or_else(|| environment_variable("POMELOVALE_KEY_FILE")) {
        Some(path) => std::fs::read_to_string(Path::new(&path))?.trim().to_owned(),
        None => environment_variable("POMELOVALE_KEY").unwrap_or_default(),
    };
    Ok(Global {
        operators: list
            .split(',')
            .filter(|a| !a.is_empty())
            .map(str::to_owned)
            .collect(),
        sender: key.split('.').nth(1).unwrap_or("").into(),
        json: args.contains("--json"),
        request: request.map(Name::from),
        key,
        base: args.opt_value_from_str("--base")?,
    })
}

/// Reads a required positional argument.
pub fn positional<T: FromStr>(args: &mut Arguments, what: &str) -> Result<T, CliError> {
    let text: Option<String> = args.opt_free_from_str()?;
    let text = text.ok_or_else(|| CliError::Args(format!("{what} is missing")))?;
    text.parse()
        .map_err(|_| CliError::Args(format!("{text:?} is not a valid {what}")))
}

/// Reads a required positional argument and checks that it is a valid name.
pub fn name(args: &mut Arguments, what: &str) -> Result<Name, CliError> {
    let text: String = positional(args, what)?;
    let name = Name::from(text);
    match name.is_valid() {
        true => Ok(name),
        false => Err(CliError::Args(format!(
            "{:?} is not a valid {what}",
            name.as_str()
        ))),
    }
}

/// Reads a required option.
pub fn required_option<T: FromStr>(
    args: &mut Arguments,
    flag: &'static str,
) -> Result<T, CliError> {
    let text: Option<String> = args.opt_value_from_str(flag)?;
    let text = text.ok_or_else(|| CliError::Args(format!("{flag} is missing")))?;
    text.parse()
        .map_err(|_| CliError::Args(format!("{text:?} is not a valid value of {flag}")))
}

/// Fails if arguments are left over.
pub fn reject_remaining(args: Arguments) -> Result<(), CliError> {
    let left = args.finish();
    match left.first() {
        None => Ok(()),
        Some(first) => Err(CliError::Args(format!(
            "unexpected argument {:?}",
            first.to_string_lossy()
        ))),
    }
}
