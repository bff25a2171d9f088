package dev.wisteriarail.capacity;

/**
 * Size and load of a measured fleet.
 *
 * @param nodes number of nodes
 * @param runners number of model runners
 * @param models number of models
 * @param requestsPerSecond requests per second in the whole fleet
 * @param changesPerHour configuration changes per hour
 */
public record Size(
    int nodes, int runners, int models, double requestsPerSecond, double changesPerHour) {}
