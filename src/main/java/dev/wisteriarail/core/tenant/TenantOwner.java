package dev.wisteriarail.core.tenant;

/**
 * Which node holds most of a tenant's allowance and decides on requests of other nodes.
 *
 * @param tenant the tenant's name
 * @param node identifier of the node
 */
public record TenantOwner(String tenant, String node) {

  /** Returns whether all fields are present, as decoding does not check them. */
  public boolean isUsable() {
    return tenant != null && node != null;
  }
}
