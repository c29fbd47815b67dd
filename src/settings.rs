//! The settings file, in INI format, validated completely before anything starts.

mod fault;
mod field;
mod gateway;
mod parse;

use std::path::Path;

use goldcrestvale_entry::settings::Settings;
use ini::Ini;
use snafu::{ResultExt, Snafu, ensure};

pub use fault::Fault;
use field::FIELDS;
pub use gateway::Gateway;

use crate::logging::Logging;

/// The result of reading a settings file.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that makes a settings file unusable.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not INI.
    #[snafu(display("{path}: {source}"))]
    Syntax {
        /// The file.
        path: String,
        /// The error of the parser.
        source: ini::ParseError,
    },
    /// The file has errors; all of them are listed.
    #[snafu(display("{}", fault::join(faults)))]
    Faults {
        /// The errors.
        faults: Vec<Fault>,
    },
}

/// The contents of a settings file.
#[derive(Debug, Clone, Default)]
pub struct File {
    /// Settings of the entry instance.
    pub entry: Settings,
    /// Settings of a gateway instance, which forwards to a platform's upstreams.
    pub gateway: Gateway,
    /// Settings of logging.
    pub logging: Logging,
}

impl File {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails with all errors of the file at once: unknown sections and keys with the most similar
    /// known ones, and invalid values.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { path: &name })?;
        Self::parse(&name, &text)
    }

    /// Parses and validates the text of a settings file; `path` is only used in errors.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale::settings::File;
    ///
    /// let file = File::parse("a.ini", "[instance]\nname = bole-1\ndomain = bole\n")?;
    /// assert_eq!(file.entry.instance.name.as_str(), "bole-1");
    ///
    /// let wrong = File::parse("a.ini", "[callers]\nadress = 127.0.0.1:80\n").unwrap_err();
    /// assert!(wrong.to_string().contains("did you mean \"address\"?"));
    /// # Ok::<(), goldcrestvale::settings::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails as [`File::read`] does.
    pub fn parse(path: &str, text: &str) -> Result<Self> {
        let ini = Ini::load_from_str_noescape(text).context(SyntaxSnafu { path })?;
        let mut file = Self::default();
        let mut faults = Vec::new();
        for (section, keys) in &ini {
            let section = section.unwrap_or_default();
            for (key, value) in keys {
                if let Err(fault) = file.set(path, section, key, value) {
                    faults.push(fault);
                }
            }
            faults.extend(fault::duplicates(path, section, keys));
        }
        faults.extend(file.check(path, &ini));
        ensure!(faults.is_empty(), FaultsSnafu { faults });
        Ok(file)
    }

    fn set(
        &mut self,
        path: &str,
        section: &str,
        key: &str,
        value: &str,
    ) -> std::result::Result<(), Fault> {
        let field = FIELDS.iter().find(|f| f.section == section && f.key == key);
        let Some(field) = field else {
            return Err(fault::unknown(path, section, key));
        };
        (field.set)(self, value).map_err(|detail| Fault {
            path: path.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            problem: fault::describe(key, value, &detail),
            expected: field.expected.to_owned(),
        })
    }

    /// Checks rules that span several keys: required keys and the operators' token.
    fn check(&self, path: &str, ini: &Ini) -> Vec<Fault> {
        let mut faults = Vec::new();
        for key in ["name", "domain"] {
            if ini.get_from(Some("instance"), key).is_none() {
                faults.push(fault::missing(path, "instance", key, "a name, as in bole-1"));
            }
        }
        if ini.section(Some("gateway")).is_some() {
            for key in ["store", "ready", "metrics"] {
                if ini.get_from(Some("gateway"), key).is_none() {
                    let expected = "an IP address and port, as in 127.0.0.1:8080";
                    faults.push(fault::missing(path, "gateway", key, expected));
                }
            }
        }
        let operators = &self.entry.operators;
        if operators.token.is_none() && !operators.address.ip().is_loopback() {
            let expected = "a token, since the operators' address is not a loopback address";
            faults.push(fault::missing(path, "operators", "token", expected));
        }
        faults
    }
}
