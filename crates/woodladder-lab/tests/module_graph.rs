//! No two modules of the workspace import each other. A module and the one that it
//! lies in may.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use syn::{Item, UseTree};

/// Source folders of the workspace's crates, from its root.
const SOURCES: [&str; 5] = [
    "crates/woodladder-core/src",
    "crates/woodladder/src",
    "crates/woodladder-node/src",
    "crates/woodladder-lab/src",
    "platform/src",
];

/// A module's path within its crate.
type ModulePath = Vec<String>;

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn module_of(file: &Path, root: &Path) -> ModulePath {
    let relative = file.strip_prefix(root).expect("below the root");
    let mut path: ModulePath = relative
        .with_extension("")
        .iter()
        .map(|part| part.to_string_lossy().into_owned())
        .collect();
    if path
        .last()
        .is_some_and(|last| ["mod", "lib", "main"].contains(&last.as_str()))
    {
        path.pop();
    }
    path
}

/// The paths that a tree of imports names, from the names before it.
fn imported(tree: &UseTree, before: &[String], paths: &mut Vec<ModulePath>) {
    let mut here = before.to_vec();
    match tree {
        UseTree::Path(path) => {
            here.push(path.ident.to_string());
            imported(&path.tree, &here, paths);
        }
        UseTree::Group(group) => {
            for tree in &group.items {
                imported(tree, before, paths);
            }
        }
        UseTree::Name(name) => {
            here.push(name.ident.to_string());
            paths.push(here);
        }
        UseTree::Rename(rename) => {
            here.push(rename.ident.to_string());
            paths.push(here);
        }
        UseTree::Glob(_) => paths.push(here),
    }
}

/// An import as a path from the crate's root; `None` for other crates.
fn absolute(import: &[String], module: &[String], has_child: bool) -> Option<ModulePath> {
    let (first, rest) = import.split_first()?;
    match first.as_str() {
        "crate" => Some(rest.to_vec()),
        "self" | "super" => {
            let mut path = module.to_vec();
            let mut rest = import;
            while let Some((word, after)) = rest.split_first() {
                match word.as_str() {
                    "super" => {
                        path.pop();
                    }
                    "self" => {}
                    _ => break,
                }
                rest = after;
            }
            path.extend(rest.iter().cloned());
            Some(path)
        }
        _ if has_child => Some(module.iter().chain(import).cloned().collect()),
        _ => None,
    }
}

fn imports_of(
    module: &ModulePath,
    file: &Path,
    modules: &BTreeMap<ModulePath, PathBuf>,
) -> BTreeSet<ModulePath> {
    let text = std::fs::read_to_string(file).expect("a source file");
    let parsed = syn::parse_file(&text).expect("a source file that parses");
    let mut paths = Vec::new();
    for item in &parsed.items {
        if let Item::Use(item) = item {
            imported(&item.tree, &[], &mut paths);
        }
    }
    let mut found = BTreeSet::new();
    for import in paths {
        let child: ModulePath = module.iter().chain(import.first()).cloned().collect();
        let has_child = modules.contains_key(&child);
        let Some(mut path) = absolute(&import, module, has_child) else {
            continue;
        };
        while !path.is_empty() && !modules.contains_key(&path) {
            path.pop();
        }
        if !path.is_empty() && path != *module {
            found.insert(path);
        }
    }
    found
}

fn is_nested(one: &[String], other: &[String]) -> bool {
    one.starts_with(other) || other.starts_with(one)
}

fn circles_below(root: &Path) -> Vec<String> {
    let mut files = Vec::new();
    source_files(root, &mut files);
    let modules: BTreeMap<ModulePath, PathBuf> = files
        .into_iter()
        .map(|file| (module_of(&file, root), file))
        .collect();
    let imports: BTreeMap<&ModulePath, BTreeSet<ModulePath>> = modules
        .iter()
        .map(|(module, file)| (module, imports_of(module, file, &modules)))
        .collect();
    let mut circles = Vec::new();
    for (module, imported) in &imports {
        for other in imported {
            let is_mutual = imports
                .get(other)
                .is_some_and(|back| back.contains(*module));
            if is_mutual && *module < other && !is_nested(module, other) {
                circles.push(format!(
                    "{}: {} and {}",
                    root.display(),
                    module.join("::"),
                    other.join("::")
                ));
            }
        }
    }
    circles
}

#[test]
fn no_two_modules_import_each_other() {
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let circles: Vec<String> = SOURCES
        .iter()
        .flat_map(|source| circles_below(&workspace.join(source)))
        .collect();
    assert!(circles.is_empty(), "{}", circles.join("\n"));
}
