/** The choice of a runner for a request. */
package dev.wisteriarail.core.routing;
