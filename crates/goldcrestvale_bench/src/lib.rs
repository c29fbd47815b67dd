//! Load and experiments: policies against baselines, figures as CSV and tables.
