/** Measures what control costs a node, as slopes over nodes, runners, models and requests. */
package dev.wisteriarail.capacity;
