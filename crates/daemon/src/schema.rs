//! Schema of the JSON settings. A check reports all errors, not only the first.

use std::net::SocketAddr;

use pomelovale_state::digest::Digest;
use pomelovale_state::Name;
use serde::Serialize;
use serde_json::{Map, Value};

/// An error in the settings and its location.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct SettingsError {
    /// JSON path such as `initial.services.shop.routes[0].prefix`.
    pub path: String,
    /// Description of the error.
    pub text: String,
}

/// Schema of a JSON value.
pub enum Shape {
    /// An IP address with a port.
    Address,
    /// `true` or `false`.
    Bool,
    /// A SHA-256 digest in hexadecimal.
    Digest,
    /// An object whose fields are each checked alone by the function.
    PerField(fn(&Map<String, Value>) -> Result<(), String>),
    /// An array with items of the given shape.
    List(&'static Shape),
    /// An object whose keys are valid names and whose values have the given shape.
    Map(&'static Shape),
    /// A valid name.
    Name,
    /// An integer from the first to the second bound, inclusive.
    Number(u64, u64),
    /// An object with these fields and no others.
    Object(&'static [Field]),
    /// One of the given strings.
    OneOf(&'static [&'static str]),
    /// A non-empty string.
    Text,
}

/// A field of [`Shape::Object`].
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Whether its absence is an error.
    pub required: bool,
    /// Schema of its value.
    pub shape: Shape,
}

/// A required field.
pub const fn required(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        required: true,
        shape,
    }
}

/// An optional field.
pub const fn optional(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        required: false,
        shape,
    }
}

/// Checks a value and appends any errors to `errors`. `path` is its JSON path.
pub fn check(shape: &Shape, value: &Value, path: &str, errors: &mut Vec<SettingsError>) {
    let mut fail = |text: &str| {
        errors.push(SettingsError {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    };
    match (shape, value) {
        (Shape::Address, Value::String(s)) if s.parse::<SocketAddr>().is_ok() => {}
        (Shape::Address, _) => {
            fail("expected an IP address with a port, such as \"127.0.0.1:8080\"")
        }
        (Shape::Bool, Value::Bool(_)) => {}
        (Shape::Bool, _) => fail("expected true or false"),
        (Shape::Digest, Value::String(s)) if s.parse::<Digest>().is_ok() => {}
        (Shape::Digest, _) => fail("expected a SHA-256 digest of 64 hexadecimal digits"),
        (Shape::PerField(read), Value::Object(map)) => check_per_field(*read, map, path, errors),
        (Shape::List(item), Value::Array(values)) => {
            for (i, value) in values.iter().enumerate() {
                check(item, value, &format!("{path}[{i}]"), errors);
            }
        }
        (Shape::List(_), _) => fail("expected a list"),
        (Shape::Map(item), Value::Object(map)) => check_map(item, map, path, errors),
        (Shape::Name, Value::String(s)) if Name::from(s.as_str()).is_valid() => {}
        (Shape::Name, _) => fail("expected a name of letters, digits, '-', '_' and '.'"),
        (Shape::Number(low, high), Value::Number(n))
            if n.as_u64().is_some_and(|n| (*low..=*high).contains(&n)) => {}
        (Shape::Number(low, high), _) => {
            fail(&format!("expected a whole number from {low} to {high}"))
        }
        (Shape::Object(fields), Value::Object(map)) => check_object(fields, map, path, errors),
        (Shape::PerField(_) | Shape::Map(_) | Shape::Object(_), _) => fail("expected an object"),
        (Shape::OneOf(words), Value::String(s)) if words.contains(&s.as_str()) => {}
        (Shape::OneOf(words), _) => fail(&format!("expected one of {}", words.join(", "))),
        (Shape::Text, Value::String(s)) if !s.is_empty() => {}
        (Shape::Text, _) => fail("expected a non-empty string"),
    }
}

fn join(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        path => format!("{path}.{key}"),
    }
}

fn check_map(item: &Shape, map: &Map<String, Value>, path: &str, errors: &mut Vec<SettingsError>) {
    for (key, value) in map {
        let path = join(path, key);
        if !Name::from(key.as_str()).is_valid() {
            errors.push(SettingsError {
                path: path.clone(),
                text: "the key is not a valid name".to_owned(),
            });
        }
        check(item, value, &path, errors);
    }
}

fn check_object(
    fields: &[Field],
    map: &Map<String, Value>,
    path: &str,
    errors: &mut Vec<SettingsError>,
) {
    for field in fields {
        match map.get(field.name) {
            Some(value) => check(&field.shape, value, &join(path, field.name), errors),
            None if field.required => {
                errors.push(SettingsError {
                    path: join(path, field.name),
                    text: "the field is missing".to_owned(),
                });
            }
            None => {}
        }
    }
    for key in map
        .keys()
        .filter(|k| fields.iter().all(|f| f.name != k.as_str()))
    {
        errors.push(SettingsError {
            path: join(path, key),
            text: "the field is unknown".to_owned(),
        });
    }
}

// Deserializes each field alone, which is possible since every field has a
// default. Deserializing the whole object would stop at the first error.
fn check_per_field(
    read: fn(&Map<String, Value>) -> Result<(), String>,
    map: &Map<String, Value>,
    path: &str,
    errors: &mut Vec<SettingsError>,
) {
    for (key, value) in map {
        let one = Map::from_iter([(key.clone(), value.clone())]);
        if let Err(text) = read(&one) {
            errors.push(SettingsError {
                path: join(path, key),
                text,
            });
        }
    }
}
