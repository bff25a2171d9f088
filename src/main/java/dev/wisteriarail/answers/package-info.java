/** Teams' answers: TOML files that are checked and published as sections of the configuration. */
package dev.wisteriarail.answers;
