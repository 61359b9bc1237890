#include "almondmill/http/percentencoding.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace almondmill {

namespace urls = boost::urls;

std::string percentEncoded(std::string_view text)
{
    return urls::encode({text.data(), text.size()}, urls::unreserved_chars);
}

std::string percentEncodedPath(std::string_view path)
{
    return urls::encode({path.data(), path.size()}, urls::unreserved_chars + '/');
}

} // namespace almondmill
