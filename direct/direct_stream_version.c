/** The version of a stream that has begun, which alone may serve it. */
#include "direct/direct_request.h"

bool direct_stream_version_check(struct direct_request *request)
{
	const struct pool_upstream *upstream;

	if (!request->has_version)
		return true;
	upstream = pool_find_version(request->direct->pool, request->service,
				     request->version_id);
	if (upstream && pool_is_eligible(upstream))
		return true;
	direct_request_refuse(request, DIRECT_RETRY_AFTER_FULL_US,
			      "version_gone");
	return false;
}
