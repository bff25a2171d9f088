package dev.wisteriarail.spi;

import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.result.PlatformException;
import java.util.List;

/** Client of the platform's list of VMs, which lags behind. Thread-safe; calls block. */
public interface VmList {

  /**
   * Reads the nodes on the list.
   *
   * @throws PlatformException if the list cannot be read
   */
  List<VmEntry> read() throws PlatformException;
}
