/** Teams' answers: TOML files turned into sections of the configuration, checked and published. */
package dev.wisteriarail.answers;
