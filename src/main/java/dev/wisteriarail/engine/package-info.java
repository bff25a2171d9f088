/** HTTP client of engines and plain services. */
package dev.wisteriarail.engine;
