//! `wasabicrank settings`: prints every settings field with its description and default value.

use argh::FromArgs;
use wasabicrank_lib::protocol::FIELDS;
use wasabicrank_lib::protocol::Field;
use wasabicrank_lib::protocol::Preset;

use crate::output::Exit;
use crate::output::print;

/// Print every settings field with its unit, range, default and meaning.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "settings",
    example = "{command_name}",
    example = "Start a settings file:\n  {command_name} --json > entry-1.json",
    error_code(0, "the settings are on standard output"),
    error_code(2, "wrong use of the command line")
)]
pub(crate) struct PrintSettings {
    /// print only JSON that a settings file can start from, with sample values where there is no
    /// default
    #[argh(switch)]
    json: bool,
}

impl PrintSettings {
    /// Prints the settings as annotated or plain JSON.
    pub(crate) fn run(self) -> Exit {
        print(&if self.json { plain_json() } else { annotated_json() })
    }
}

/// Returns the fields as a JSON object, without those that have neither a default nor a sample.
fn plain_json() -> String {
    let lines: Vec<String> = FIELDS
        .iter()
        .filter_map(|field| Some(format!("  \"{}\": {}", field.name, default_or_sample(field)?)))
        .collect();
    format!("{{\n{}\n}}\n", lines.join(",\n"))
}

/// Returns the fields as a JSON object in which comments describe each field.
fn annotated_json() -> String {
    let intro = "// The settings of one entry host, with their defaults or samples. Fields with a\n\
                 // default may be left out. `--json` prints them without comments, for a new file.\n";
    let fields: Vec<String> = FIELDS.iter().map(annotated_field).collect();
    format!("{intro}{{\n{}}}\n", fields.join("\n"))
}

/// Returns one field with comments on its meaning, its expected form and its default.
fn annotated_field(field: &Field) -> String {
    let default = match field.default {
        Preset::Required => "required, for example:",
        Preset::Absent => "absent by default",
        _ => "default:",
    };
    let line = match default_or_sample(field) {
        Some(value) => format!("\"{}\": {value},", field.name),
        None => format!("// \"{}\": …,", field.name),
    };
    let (meaning, form) = (field.meaning, field.expected());
    format!("  // {meaning}\n  // Form: {form}; {default}\n  {line}\n")
}

/// Returns the default value, or the sample value if there is no default.
fn default_or_sample(field: &Field) -> Option<String> {
    let sample = (!field.sample.is_empty()).then(|| field.sample.to_owned());
    field.default_value().map(|value| value.to_string()).or(sample)
}
