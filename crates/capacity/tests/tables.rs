//! Tests of the fit and of replacing tables in a page.

use kingcupford_capacity::{non_negative_least_squares, replace_section};

/// Guards against coefficients that do not reproduce an exact linear relation between columns of
/// different units, one of which is always 0.
#[test]
fn non_negative_least_squares_exact() {
    let rows: Vec<Vec<f64>> =
        (0..10).map(|it| vec![1.0, f64::from(it), f64::from(it * it) * 1e4, 0.0]).collect();
    let values: Vec<f64> = rows.iter().map(|it| 2.0 + 3.0 * it[1] + 0.5 * it[2]).collect();
    let coefficients = non_negative_least_squares(&rows, &values);
    for (coefficient, expected) in coefficients.iter().zip([2.0, 3.0, 0.5, 0.0]) {
        assert!((coefficient - expected).abs() < 1e-6, "{coefficients:?}");
    }
}

/// Guards against a negative coefficient, with which one size would hide the cost of another at the
/// target size.
#[test]
fn non_negative_least_squares_excludes_column() {
    let rows: Vec<Vec<f64>> = (0..10).map(|it| vec![1.0, f64::from(it)]).collect();
    let values: Vec<f64> = (0..10).map(|it| 20.0 - f64::from(it)).collect();
    let coefficients = non_negative_least_squares(&rows, &values);
    assert_eq!(coefficients[1], 0.0, "{coefficients:?}");
    assert!((coefficients[0] - 15.5).abs() < 1e-6, "{coefficients:?}");
}

/// Guards against a replaced table that changes the surrounding text or removes the markers, so
/// that the next replacement fails.
#[test]
fn replace_section_repeated() {
    let text = "a\n<!-- measured:begin x -->\nold\n<!-- measured:end x -->\nb\n";
    let once = replace_section(text, "x", "new\n").expect("has markers");
    assert_eq!(once, "a\n<!-- measured:begin x -->\n\nnew\n\n<!-- measured:end x -->\nb\n");
    assert_eq!(replace_section(&once, "x", "new\n").expect("has markers"), once);
    assert!(replace_section(text, "y", "new").is_err(), "a missing marker is reported");
}
