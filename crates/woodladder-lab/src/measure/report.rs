//! The whole report: JSON, one Markdown page, and plots beside it.

use std::path::Path;

use serde::Serialize;

use super::decision::DecisionFigures;
use super::figures::Figures;
use super::packets::PacketFigures;
use super::report_error::ReportError;
use super::{markdown, plot};

/// Name of the page in the report's directory.
const PAGE: &str = "README.md";

/// Figures of the parts that were measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Broken flows and imbalance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub balance: Option<Figures>,
    /// Cost of the balancer's decision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub decision: Option<DecisionFigures>,
    /// The packet path through a balancer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub packets: Option<PacketFigures>,
}

impl Report {
    /// The report as JSON.
    ///
    /// # Errors
    /// [`ReportError::Encoding`] when the library refuses a figure.
    pub fn json(&self) -> Result<String, ReportError> {
        serde_json::to_string_pretty(self).map_err(ReportError::Encoding)
    }

    /// The report as a Markdown page.
    #[must_use]
    pub fn page(&self) -> String {
        let mut page = "# Measurements\n".to_owned();
        if let Some(figures) = &self.balance {
            page.push_str(&markdown::balance(figures));
        }
        if let Some(figures) = &self.decision {
            page.push_str(&markdown::decision(figures));
        }
        if let Some(figures) = &self.packets {
            page.push_str(&markdown::packets(figures));
        }
        page
    }

    /// Writes the page and the plots.
    ///
    /// # Errors
    /// [`ReportError`] at the first file that cannot be written.
    pub fn write(&self, directory: &Path) -> Result<(), ReportError> {
        std::fs::create_dir_all(directory).map_err(|error| at(directory, error))?;
        let mut page = self.page();
        if let Some(figures) = &self.balance {
            page.push_str("\n## Plots\n\n");
            for name in plot::draw_all(figures, directory)? {
                page.push_str(&format!("![{name}]({name})\n"));
            }
        }
        let path = directory.join(PAGE);
        std::fs::write(&path, page).map_err(|error| at(&path, error))
    }
}

fn at(path: &Path, error: std::io::Error) -> ReportError {
    ReportError::File {
        path: path.to_owned(),
        error,
    }
}
