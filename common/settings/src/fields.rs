//! The lines of a settings file, looked up by key and converted.

use crate::Error;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

/// The longest duration that a setting may name.
const SECONDS_MOST: f64 = 1e7;

/// The lines of one file, by key.
pub struct Fields<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    pub fn parse(text: &'a str) -> Result<Fields<'a>, Error> {
        let mut fields = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (key, value) = line.split_once('=').ok_or(Error::Line(index + 1))?;
            fields.insert(key.trim(), value.trim());
        }
        Ok(Fields(fields))
    }

    /// The value of a key that is present and not empty.
    pub fn optional(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied().filter(|value| !value.is_empty())
    }

    pub fn required(&self, key: &'static str) -> Result<&'a str, Error> {
        self.optional(key).ok_or(Error::Missing(key))
    }

    /// What follows `prefix` in the keys that begin with it.
    pub fn names_below(&self, prefix: &str) -> Vec<String> {
        self.0.keys().filter_map(|key| key.strip_prefix(prefix)).map(str::to_owned).collect()
    }

    fn converted<T: FromStr>(&self, key: &str, allowed: &'static str) -> Result<Option<T>, Error> {
        let convert =
            |value: &str| value.parse().map_err(|_| Error::Value(key.to_owned(), value.to_owned(), allowed));
        self.optional(key).map(convert).transpose()
    }

    pub fn whole(&self, key: &str, default: u64) -> Result<u64, Error> {
        Ok(self.converted(key, "a whole number")?.unwrap_or(default))
    }

    /// A number that is finite and not negative.
    pub fn fraction(&self, key: &str, default: f64) -> Result<f64, Error> {
        const ALLOWED: &str = "a number, 0 or more";
        let number = self.converted(key, ALLOWED)?.unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(Error::Value(key.to_owned(), number.to_string(), ALLOWED))
        }
    }

    pub fn seconds(&self, key: &str, default: f64) -> Result<Duration, Error> {
        Ok(Duration::from_secs_f64(self.fraction(key, default)?.min(SECONDS_MOST)))
    }

    pub fn millis(&self, key: &str, default: f64) -> Result<Duration, Error> {
        Ok(Duration::from_secs_f64((self.fraction(key, default)? / 1000.0).min(SECONDS_MOST)))
    }

    pub fn flag(&self, key: &str, default: bool) -> Result<bool, Error> {
        Ok(self.converted(key, "true or false")?.unwrap_or(default))
    }

    pub fn address(&self, key: &str) -> Result<Option<SocketAddr>, Error> {
        self.converted(key, "IP:PORT")
    }

    pub fn ip(&self, key: &'static str) -> Result<Ipv4Addr, Error> {
        self.converted(key, "an IPv4 address")?.ok_or(Error::Missing(key))
    }

    pub fn addresses(&self, key: &str) -> Result<Vec<SocketAddr>, Error> {
        let convert = |part: &str| {
            let refused = || Error::Value(key.to_owned(), part.to_owned(), "IP:PORT, joined by commas");
            part.trim().parse().map_err(|_| refused())
        };
        self.optional(key).map_or(Ok(Vec::new()), |list| list.split(',').map(convert).collect())
    }

    /// Two ports, the second not before the first.
    pub fn ports(&self, key: &'static str) -> Result<(u16, u16), Error> {
        let value = self.required(key)?;
        let refused = || Error::Value(key.to_owned(), value.to_owned(), "FIRST,LAST ports");
        let (first, last) = value.split_once(',').ok_or_else(refused)?;
        let port = |text: &str| text.trim().parse::<u16>().map_err(|_| refused());
        let ports = (port(first)?, port(last)?);
        if ports.0 > 0 && ports.0 <= ports.1 {
            Ok(ports)
        } else {
            Err(refused())
        }
    }
}
