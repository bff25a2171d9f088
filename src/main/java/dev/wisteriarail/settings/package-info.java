/** TOML settings, checked as a whole before anything starts. */
package dev.wisteriarail.settings;
