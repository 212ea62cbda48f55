#pragma once

#include <monsoonward/control/control.h>

#include <memory>

namespace monsoonward
{

/// @brief The part of ControlNode's interface that Node uses. All methods run on the control thread.
class ControlPart
{
public:
    virtual ~ControlPart() = default;
    virtual void peerUp(const Peer &peer, HostRole role) = 0;
    virtual void peerDown(const Peer &peer) = 0;
    virtual void message(const Peer &from, const Message &message) = 0;
    virtual void handle(const OperatorRequest &request, ControlNode::ReplyCallback done) = 0;
    virtual void tick() = 0;
    virtual std::string dump() const = 0;
};

/// @return an adapter that forwards all calls to @p node
std::unique_ptr<ControlPart> makeControlPart(std::unique_ptr<ControlNode> node);

} // namespace monsoonward
