/** Load generation and overhead experiments, with latency percentiles and outcome counts. */
package dev.wisteriarail.load;
