package org.siskinlead.core.catalog;

/**
 * Service that receives a share of the requests of a route.
 * @param service name of the service
 * @param weight share of the requests relative to the other services of the route
 */
public record WeightedService(String service, int weight) {}
