package dev.wisteriarail.core.fleet;

import java.util.List;
import java.util.Set;

/**
 * What a runner wrote about itself into the platform's directory.
 *
 * @param id names this run of the runner, or a later one if {@code bornMillis} is higher
 * @param service the service that it belongs to
 * @param host its IP number
 * @param port its port
 * @param domain its failure domain
 * @param slots requests that it serves at a time
 * @param draining whether it leaves and takes no new request
 * @param bornMillis time of its start, in Unix milliseconds; 0 if unknown
 * @param sequence its count of what it wrote in this run; 0 if unknown
 * @param models the models that it holds
 * @param inHostMemory models whose weights its host memory holds
 * @param onDisk models whose weights its disk holds
 */
public record RunnerEntry(
    String id,
    String service,
    String host,
    int port,
    String domain,
    int slots,
    boolean draining,
    long bornMillis,
    long sequence,
    List<LoadedModel> models,
    Set<String> inHostMemory,
    Set<String> onDisk) {

  /** Copies the collections. */
  public RunnerEntry {
    models = List.copyOf(models);
    inHostMemory = Set.copyOf(inHostMemory);
    onDisk = Set.copyOf(onDisk);
  }

  /** Returns whether another entry says the same, whatever their places in the count are. */
  public boolean hasSameContent(RunnerEntry other) {
    return equals(other) || (other != null && equals(other.with(other.draining, sequence)));
  }

  /** Returns whether this entry was written before another one of the same run. */
  public boolean isOlderThan(RunnerEntry other) {
    return bornMillis == other.bornMillis && sequence > 0 && sequence < other.sequence;
  }

  /** Returns the same entry of a runner that leaves. */
  public RunnerEntry asDraining() {
    return with(true, sequence);
  }

  private RunnerEntry with(boolean newDraining, long newSequence) {
    return new RunnerEntry(
        id,
        service,
        host,
        port,
        domain,
        slots,
        newDraining,
        bornMillis,
        newSequence,
        models,
        inHostMemory,
        onDisk);
  }

  /** Returns the address as host and port. */
  public String address() {
    return host + ":" + port;
  }
}
