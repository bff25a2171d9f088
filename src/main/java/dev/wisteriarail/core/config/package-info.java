/**
 * Configuration: the sections that the teams publish, their validation, and the state that decides
 * which changes are accepted.
 */
package dev.wisteriarail.core.config;
