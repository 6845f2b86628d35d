//! The fields of a settings file, looked up by key and converted.

use crate::error::Error;
use crate::ports::PortRange;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

/// Upper bound of a duration in seconds; longer ones are clamped to it.
const MAX_DURATION_S: f64 = 1e7;

/// The fields of one file. Empty lines and lines that begin with `#` are ignored. If a key occurs several
/// times, the last line applies.
pub struct Fields<'a> {
    values: BTreeMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a text into fields.
    pub fn parse(text: &'a str) -> Result<Fields<'a>, Error> {
        let mut values = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (key, value) = line.split_once('=').ok_or(Error::MalformedLine(index + 1))?;
            values.insert(key.trim(), value.trim());
        }
        Ok(Fields { values })
    }

    /// Returns the value of a key that is present and not empty.
    pub fn optional(&self, key: &str) -> Option<&'a str> {
        self.values.get(key).copied().filter(|value| !value.is_empty())
    }

    /// Returns the value of a key that must be present and not empty.
    pub fn required(&self, key: &'static str) -> Result<&'a str, Error> {
        self.optional(key).ok_or(Error::MissingKey(key))
    }

    /// Returns the keys that begin with `prefix`, without the prefix, sorted.
    pub fn keys_with_prefix(&self, prefix: &str) -> Vec<String> {
        self.values.keys().filter_map(|key| key.strip_prefix(prefix)).map(str::to_owned).collect()
    }

    fn converted<T: FromStr>(&self, key: &str, allowed: &'static str) -> Result<Option<T>, Error> {
        let convert = |value: &str| value.parse().map_err(|_| invalid(key, value, allowed));
        self.optional(key).map(convert).transpose()
    }

    /// Returns a non-negative integer, or its default.
    pub fn integer(&self, key: &str, default: u64) -> Result<u64, Error> {
        Ok(self.converted(key, "a whole number")?.unwrap_or(default))
    }

    /// Returns a number that is finite and not negative, or its default.
    pub fn non_negative(&self, key: &str, default: f64) -> Result<f64, Error> {
        const ALLOWED: &str = "a number, 0 or more";
        let number = self.converted(key, ALLOWED)?.unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(invalid(key, &number.to_string(), ALLOWED))
        }
    }

    /// Returns a duration in seconds, or its default.
    pub fn seconds(&self, key: &str, default: f64) -> Result<Duration, Error> {
        Ok(Duration::from_secs_f64(self.non_negative(key, default)?.min(MAX_DURATION_S)))
    }

    /// Returns a duration in milliseconds, or its default.
    pub fn milliseconds(&self, key: &str, default: f64) -> Result<Duration, Error> {
        Ok(Duration::from_secs_f64((self.non_negative(key, default)? / 1000.0).min(MAX_DURATION_S)))
    }

    /// Returns a boolean, or its default.
    pub fn boolean(&self, key: &str, default: bool) -> Result<bool, Error> {
        Ok(self.converted(key, "true or false")?.unwrap_or(default))
    }

    /// Returns an address, or `None` if the key is absent.
    pub fn address(&self, key: &str) -> Result<Option<SocketAddr>, Error> {
        self.converted(key, "IP:PORT")
    }

    /// Returns the IP address of a required key.
    pub fn ip(&self, key: &'static str) -> Result<Ipv4Addr, Error> {
        self.converted(key, "an IPv4 address")?.ok_or(Error::MissingKey(key))
    }

    /// Returns a comma-separated list of addresses, which is empty if the key is absent.
    pub fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>, Error> {
        let convert =
            |part: &str| part.trim().parse().map_err(|_| invalid(key, part, "IP:PORT, joined by commas"));
        self.optional(key).map_or(Ok(Vec::new()), |list| list.split(',').map(convert).collect())
    }

    /// Returns the port range of a required key.
    pub fn port_range(&self, key: &'static str) -> Result<PortRange, Error> {
        let value = self.required(key)?;
        let invalid_range = || invalid(key, value, "FIRST,LAST ports");
        let parse_port = |text: &str| text.trim().parse::<u16>().map_err(|_| invalid_range());
        let (first, last) = value.split_once(',').ok_or_else(invalid_range)?;
        let (first, last) = (parse_port(first)?, parse_port(last)?);
        if first > 0 && first <= last {
            Ok(PortRange { first, last })
        } else {
            Err(invalid_range())
        }
    }
}

fn invalid(key: &str, value: &str, allowed: &'static str) -> Error {
    Error::InvalidValue(key.to_owned(), value.to_owned(), allowed)
}
