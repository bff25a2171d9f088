/** The HTTP API for callers, built on Jetty. */
package dev.wisteriarail.http;
