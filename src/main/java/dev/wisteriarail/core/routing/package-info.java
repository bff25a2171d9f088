/** Routing: the selection of a runner and a replica for each request. */
package dev.wisteriarail.core.routing;
