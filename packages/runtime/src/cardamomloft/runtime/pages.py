"""A few pages at fixed paths, without a routing library: klein and werkzeug need 4 MB."""

from collections.abc import Callable, Mapping

from twisted.web.iweb import IRequest
from twisted.web.resource import Resource

Page = Callable[[IRequest], bytes]

_NOT_FOUND = b"not found\n"
_NOT_ALLOWED = b"method not allowed\n"


class Pages(Resource):
    """The pages of a site; a path of none of them gives status 404.

    Parameters
    ----------
    pages
        The function that returns the content of a page, by path.
    methods
        The only method that is allowed, by path; other paths allow all.
    """

    isLeaf = True  # noqa: N815  (name defined by twisted.web)

    def __init__(self, pages: Mapping[str, Page], methods: Mapping[str, str] | None = None) -> None:
        super().__init__()
        self._pages = {path.encode(): page for path, page in pages.items()}
        self._methods = {path.encode(): method.encode() for path, method in (methods or {}).items()}

    def render(self, request: IRequest) -> bytes:
        """Return the content of the request's page; called by twisted.web."""
        path = request.path
        if path not in self._pages:
            return _refuse(request, 404, _NOT_FOUND)
        allowed = self._methods.get(path, request.method)
        if request.method != allowed:
            request.setHeader("Allow", allowed)
            return _refuse(request, 405, _NOT_ALLOWED)
        return self._pages[path](request)


def _refuse(request: IRequest, status: int, text: bytes) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", "text/plain")
    return text
