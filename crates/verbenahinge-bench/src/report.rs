//! Output of run summaries as a table or as JSON.

use std::fmt::Write;

use crate::summary::Summary;

/// Formats summaries as a table with the lines of each run one below the other.
#[must_use]
pub fn format_table(summaries: &[Summary]) -> String {
    let mut text = String::new();
    for summary in summaries {
        let line = format!(
            "{:<26} {:<12} goodput {:>8.0} tok/s  waste {:>5.1}%  jain {:.3}  retries {:>4.1}%",
            summary.scenario,
            summary.policy.to_string(),
            summary.goodput,
            summary.waste * 100.0,
            summary.jain,
            summary.retry_ratio * 100.0,
        );
        push_line(&mut text, &line);
        for (name, class) in &summary.classes {
            let line = format!(
                "    {name:<20} attained {:>6.2}%  of {:>6}  first token p50 {:>5} p95 {:>6} ms  \
                 refused {:>6} (within {:>5} ms)  late {:>5}  slow {:>5}  starved {:>6} ms  prefill {:>5.1}%",
                class.attainment * 100.0,
                class.offered,
                class.first_token_p50_ms,
                class.first_token_p95_ms,
                class.refused,
                class.refusal_max_ms,
                class.late,
                class.slow,
                class.starvation_max_ms,
                class.prefill_ratio * 100.0,
            );
            push_line(&mut text, &line);
            if !class.reasons.is_empty() {
                push_line(&mut text, &format!("        refused: {:?}", class.reasons));
            }
        }
        for violation in &summary.violations {
            push_line(&mut text, &format!("    BROKEN: {violation}"));
        }
    }
    text
}

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string succeeds");
}

/// Formats summaries as JSON.
///
/// # Panics
///
/// Panics if serialization fails, which these types rule out.
#[must_use]
pub fn to_json(summaries: &[Summary]) -> String {
    serde_json::to_string_pretty(summaries).expect("summaries are serializable")
}
