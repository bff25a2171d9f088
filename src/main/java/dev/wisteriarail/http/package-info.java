/** The callers' HTTP API on Jetty. */
package dev.wisteriarail.http;
