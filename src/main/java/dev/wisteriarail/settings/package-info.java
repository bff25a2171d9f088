/** The TOML settings files of nodes, which are checked completely before a node starts. */
package dev.wisteriarail.settings;
