/**
 * Stand-in for the platform's list of hosts: GET /v1/hosts with an ETag;
 * PUT and DELETE /v1/hosts/ID change it, as the platform itself would.
 */
#ifndef SI_HOSTS_H
#define SI_HOSTS_H

#include <libsoup/soup.h>

struct si_hosts;

struct si_hosts *si_hosts_create(SoupServer *server);
void si_hosts_destroy(struct si_hosts *hosts);

#endif
