package dev.wisteriarail.core.fleet;

import java.util.List;
import java.util.Set;

/**
 * The entry that a runner writes about itself to the platform's directory.
 *
 * @param id identifier of the runner; a later run has a higher {@code bornMillis}
 * @param service the service that it belongs to
 * @param host its IP address
 * @param port its port
 * @param domain its failure domain
 * @param slots number of requests that it serves concurrently
 * @param draining whether it is leaving and accepts no new requests
 * @param bornMillis its start time, in Unix milliseconds; 0 if unknown
 * @param sequence sequence number of the entry within the run; 0 if unknown
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

  /** Returns whether another entry has the same content, regardless of its sequence number. */
  public boolean hasSameContent(RunnerEntry other) {
    return equals(other) || (other != null && equals(other.with(other.draining, sequence)));
  }

  /** Returns whether this entry was written before another one of the same run. */
  public boolean isOlderThan(RunnerEntry other) {
    return bornMillis == other.bornMillis && sequence > 0 && sequence < other.sequence;
  }

  /** Returns this entry with the runner marked as draining. */
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

  /** Returns whether the entry names its runner and connections can be made to its address. */
  public boolean isReachable() {
    return id != null
        && service != null
        && domain != null
        && host != null
        && !host.isBlank()
        && port >= 1
        && port <= NodeAddress.MAX_PORT;
  }

  /** Returns the address in the form {@code host:port}. */
  public String address() {
    return host + ":" + port;
  }
}
