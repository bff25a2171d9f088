package dev.wisteriarail.capacity;

/**
 * Size of a measured fleet.
 *
 * @param nodes nodes
 * @param runners model runners
 * @param models models
 * @param requestsPerSecond requests in the whole fleet
 * @param changesPerHour configuration changes
 */
public record Size(
    int nodes, int runners, int models, double requestsPerSecond, double changesPerHour) {}
