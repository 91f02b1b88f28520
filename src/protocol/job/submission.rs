//! Parsing and validation of a submission, field by field.

use super::super::codec::from_value;
use super::JobSpec;
use rmpv::Value;
use serde::de::DeserializeOwned;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// Largest valid amount. A larger one makes the submission malformed; a smaller one may still exceed what can ever run.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum length of a string field, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum length of a job id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Maximum number of machine types listed by a job.
const MAX_MACHINE_TYPES: usize = 64;
/// Maximum nesting depth of a body.
const MAX_DEPTH: usize = 16;

/// Why a submission is malformed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum InvalidSubmission {
    /// The body is not exactly one MessagePack value.
    #[error("not MessagePack")]
    NotMsgPack,
    /// The body is not a map.
    #[error("not a map")]
    NotMap,
    /// The field with this wire name is missing or invalid.
    #[error("field {0} is missing or invalid")]
    Field(&'static str),
}

/// Returns whether `id` has the form of a job id: `req-` and decimal digits.
pub fn is_valid_job_id(id: &str) -> bool {
    let has_valid_number =
        |number: &str| !number.is_empty() && number.bytes().all(|byte| byte.is_ascii_digit());
    id.len() <= MAX_ID_BYTES && id.strip_prefix("req-").is_some_and(has_valid_number)
}

/// Parses and validates the body of a submission; returns the job id and the job.
///
/// # Errors
///
/// Reports the first field, in the order of the checks below, that is missing or invalid.
pub fn parse(body: &[u8]) -> Result<(String, JobSpec), InvalidSubmission> {
    let fields = Fields::parse(body)?;
    let id = fields.text("id")?;
    if !is_valid_job_id(&id) {
        return Err(InvalidSubmission::Field("id"));
    }
    let tasks = fields.task_count("sheets")?;
    let types = fields.machine_types("presses")?;
    let zone = fields.optional("yard", Fields::text)?;
    let deadline_s = fields.optional("due_s", Fields::amount)?;
    let dependencies = fields.job_ids("awaits")?;
    let spec = JobSpec {
        class: fields.text("docket")?,
        team: fields.text("crew")?,
        kind: fields.variant("shape")?,
        priority: fields.variant("rank")?,
        tasks,
        cpus: fields.amount("cpus")?,
        gpus: fields.amount("cards")?,
        memory_gb: fields.amount("memory_gb")?,
        image: fields.text("plate")?,
        image_gb: fields.amount("size_gb")?,
        types,
        zone,
        one_zone: fields.flag("together")?,
        spread: fields.flag("scatter")?,
        spot: fields.flag("loaners")?,
        estimate_s: fields.amount("expected_s")?,
        checkpoint_s: fields.amount("proof_s")?,
        save_s: fields.amount("stash_s")?,
        deadline_s,
        dependencies,
    };
    Ok((id, spec))
}

/// The fields of a submission by their wire names. A field that is nil counts as missing.
struct Fields(Vec<(Value, Value)>);

impl Fields {
    fn parse(body: &[u8]) -> Result<Fields, InvalidSubmission> {
        let mut rest = body;
        let value = rmpv::decode::read_value_with_max_depth(&mut rest, MAX_DEPTH)
            .map_err(|_| InvalidSubmission::NotMsgPack)?;
        if !rest.is_empty() {
            return Err(InvalidSubmission::NotMsgPack);
        }
        match value {
            Value::Map(fields) => Ok(Fields(fields)),
            _ => Err(InvalidSubmission::NotMap),
        }
    }

    fn get(&self, name: &str) -> Option<&Value> {
        let (_, value) = self.0.iter().find(|(key, _)| key.as_str() == Some(name))?;
        Some(value).filter(|value| !value.is_nil())
    }

    fn optional<T>(
        &self,
        name: &'static str,
        read: impl Fn(&Fields, &'static str) -> Result<T, InvalidSubmission>,
    ) -> Result<Option<T>, InvalidSubmission> {
        match self.get(name) {
            None => Ok(None),
            Some(_) => read(self, name).map(Some),
        }
    }

    /// Reads a non-empty string of at most [`MAX_TEXT_BYTES`].
    fn text(&self, name: &'static str) -> Result<String, InvalidSubmission> {
        match self.get(name).and_then(Value::as_str) {
            Some(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => Ok(text.to_string()),
            _ => Err(InvalidSubmission::Field(name)),
        }
    }

    /// Reads a number between 0 and [`MAX_AMOUNT`].
    fn amount(&self, name: &'static str) -> Result<f64, InvalidSubmission> {
        match self.get(name).and_then(Value::as_f64) {
            Some(amount) if amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount) => {
                Ok(amount)
            }
            _ => Err(InvalidSubmission::Field(name)),
        }
    }

    fn flag(&self, name: &'static str) -> Result<bool, InvalidSubmission> {
        self.get(name)
            .and_then(Value::as_bool)
            .ok_or(InvalidSubmission::Field(name))
    }

    /// Reads an enum variant from its wire name.
    fn variant<T: DeserializeOwned>(&self, name: &'static str) -> Result<T, InvalidSubmission> {
        self.get(name)
            .filter(|value| value.is_str())
            .and_then(from_value)
            .ok_or(InvalidSubmission::Field(name))
    }

    /// Reads a number of tasks between 1 and [`MAX_TASKS`].
    fn task_count(&self, name: &'static str) -> Result<u32, InvalidSubmission> {
        let count = self.get(name).and_then(Value::as_u64);
        count
            .filter(|count| (1..=MAX_TASKS).contains(count))
            .and_then(|count| u32::try_from(count).ok())
            .ok_or(InvalidSubmission::Field(name))
    }

    /// Reads the allowed machine types; a missing list allows all, an empty one is invalid.
    fn machine_types(&self, name: &'static str) -> Result<Option<Vec<String>>, InvalidSubmission> {
        let types = match self.get(name) {
            None => return Ok(None),
            Some(Value::Array(types)) if !types.is_empty() && types.len() <= MAX_MACHINE_TYPES => {
                types
            }
            Some(_) => return Err(InvalidSubmission::Field(name)),
        };
        let types = types.iter().map(|value| value.as_str().map(str::to_string));
        let types: Option<Vec<String>> = types.collect();
        types.map(Some).ok_or(InvalidSubmission::Field(name))
    }

    /// Reads a list of job ids, sorts it and removes duplicates; a missing list is empty.
    fn job_ids(&self, name: &'static str) -> Result<Vec<String>, InvalidSubmission> {
        let values = match self.get(name) {
            None => return Ok(Vec::new()),
            Some(Value::Array(values)) => values,
            Some(_) => return Err(InvalidSubmission::Field(name)),
        };
        let valid = |value: &Value| {
            let id = value.as_str().filter(|id| is_valid_job_id(id))?;
            Some(id.to_string())
        };
        let ids: Option<Vec<String>> = values.iter().map(valid).collect();
        let mut ids = ids.ok_or(InvalidSubmission::Field(name))?;
        ids.sort_unstable();
        ids.dedup();
        Ok(ids)
    }
}
